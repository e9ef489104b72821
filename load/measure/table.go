package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// Table is a table of results as Markdown.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
	// Note is a text below the table, such as the conditions of the measurement.
	Note string
}

// Add appends a row; values are printed with %v.
func (t *Table) Add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = fmt.Sprint(v)
	}
	t.Rows = append(t.Rows, row)
}

// Write prints the table with aligned columns.
func (t *Table) Write(out io.Writer) error {
	var b strings.Builder
	if t.Title != "" {
		b.WriteString("\n" + t.Title + "\n\n")
	}
	w := tabwriter.NewWriter(&b, 0, 0, 1, ' ', 0)
	rule := slices.Repeat([]string{"---"}, len(t.Header))
	for _, cells := range append([][]string{t.Header, rule}, t.Rows...) {
		if _, err := fmt.Fprintf(w, "| %s\t|\n", strings.Join(cells, "\t| ")); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	if t.Note != "" {
		b.WriteString("\n" + t.Note + "\n")
	}
	_, err := io.WriteString(out, b.String())
	return trace.Wrap(err)
}
