package hickorydemo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickorydemoreport"
)

// WriteTable writes a report as a table for people.
func WriteTable(out io.Writer, report *hickorydemoreport.Report) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	lines := []string{"figure\tvalue\tguarantee\t"}
	for _, row := range report.Rows {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t", row.Name, row.Text, guaranteeText(&row)))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(writer, line); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return errors.Wrap(writer.Flush(), "write table")
}

// guaranteeText returns whether the guarantee of a row holds, or an empty text for a
// row without one.
func guaranteeText(row *hickorydemoreport.Row) string {
	switch {
	case row.Guarantee == "":
		return ""
	case row.Holds:
		return row.Guarantee + " holds"
	default:
		return row.Guarantee + " DOES NOT HOLD"
	}
}
