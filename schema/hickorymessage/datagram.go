package hickorymessage

// IsValid reports whether the datagram carries exactly one message, which the
// generated decoder does not check.
func (d *Datagram) IsValid() bool {
	carried := 0
	for _, present := range []bool{
		d.LoadNotice != nil, d.NewerGeneration != nil, d.OwnerQuery != nil, d.OwnerReply != nil,
		d.Probe != nil, d.ProbeReply != nil, d.RedirectEntry != nil,
	} {
		if present {
			carried++
		}
	}
	return carried == 1
}
