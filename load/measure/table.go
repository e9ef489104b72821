package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table is a table of results as Markdown.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
	// Note says what the figures depend on.
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
	if t.Title != "" {
		fmt.Fprintf(out, "\n%s\n\n", t.Title)
	}
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	line := func(cells []string) { fmt.Fprintf(w, "| %s\t|\n", strings.Join(cells, "\t| ")) }
	line(t.Header)
	rule := make([]string, len(t.Header))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, row := range t.Rows {
		line(row)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if t.Note != "" {
		fmt.Fprintf(out, "\n%s\n", t.Note)
	}
	return nil
}
