package hickoryrequest

// Assembler joins the parts of one request or response, which may arrive in
// any order and more than once.
type Assembler struct {
	// parts has a fixed length; entries that have not arrived are nil.
	parts [][]byte
	// missing is the number of nil entries.
	missing int
}

// NewAssembler returns an assembler for a number of parts.
func NewAssembler(parts int) *Assembler {
	return &Assembler{parts: make([][]byte, parts), missing: parts}
}

// Add stores a part and reports whether all parts have arrived. It ignores a part
// whose index or number of parts does not match the assembler.
func (a *Assembler) Add(part, parts int, body []byte) bool {
	if parts != len(a.parts) || part < 0 || part >= parts {
		return false
	}
	if a.parts[part] == nil {
		a.parts[part] = append([]byte{}, body...)
		a.missing--
	}
	return a.missing == 0
}

// Body returns the parts that have arrived, joined in order. The body is complete
// once Add has returned true.
func (a *Assembler) Body() []byte {
	var body []byte
	for _, part := range a.parts {
		body = append(body, part...)
	}
	return body
}
