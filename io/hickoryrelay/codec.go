package hickoryrelay

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"io"
	"strings"

	"github.com/pkg/errors"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/io/hickoryyaml"
	"hickoryworks/schema/hickorydocument"
)

// maxSectionBytes is the largest size of a section's text, the limit of the
// configuration service. Without it, a small compressed content could unpack to
// a text that exhausts the memory.
const maxSectionBytes = 1 << 20

// Pack compresses the text of a section and encodes it in base64, as messages
// carry it.
func Pack(text string) string {
	var packed bytes.Buffer
	// A write to a buffer returns no error, so the errors are ignored.
	writer := gzip.NewWriter(&packed)
	_, _ = io.WriteString(writer, text)
	_ = writer.Close()
	return base64.StdEncoding.EncodeToString(packed.Bytes())
}

// Unpack returns the text of a section that Pack encoded. It fails when content is
// neither base64 nor gzip, or the text is larger than maxSectionBytes.
func Unpack(content string) ([]byte, error) {
	reader, err := gzip.NewReader(base64.NewDecoder(base64.StdEncoding, strings.NewReader(content)))
	if err != nil {
		return nil, errors.Wrap(err, "unpack section")
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxSectionBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack section")
	}
	if len(text) > maxSectionBytes {
		return nil, errors.Errorf("unpack section: text is larger than %d bytes", maxSectionBytes)
	}
	return text, nil
}

// Decode unpacks a section and decodes it. It returns the problems of a section
// that can't be unpacked or violates its schema.
func Decode(content string) (hickorydocument.Section, []hickoryconfig.Problem) {
	var section hickorydocument.Section
	text, err := Unpack(content)
	if err == nil {
		err = hickoryyaml.Decode(text, &section)
	}
	if err != nil {
		return section, []hickoryconfig.Problem{{Reason: err.Error()}}
	}
	return section, nil
}
