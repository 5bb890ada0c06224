// Package printer prints tables, aligned on a terminal and tab-separated in a
// pipe, and JSON.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/quetzalroad/quetzalroad/support/commander"
)

// padding is the number of spaces between two columns on a terminal.
const padding = 2

// Table prints rows. The header is printed only on a terminal.
func Table(s commander.IOStreams, header []string, rows [][]string) error {
	if !s.IsTerminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(s.Out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, padding, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// JSON prints a value as indented JSON.
func JSON(w io.Writer, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}

// FieldValues returns the named fields of an object as strings, empty for fields
// that it lacks.
func FieldValues(object json.RawMessage, names []string) ([]string, error) {
	var fields map[string]any
	if err := json.Unmarshal(object, &fields); err != nil {
		return nil, err
	}
	row := make([]string, len(names))
	for i, name := range names {
		if v, ok := fields[name]; ok {
			row[i] = fmt.Sprint(v)
		}
	}
	return row, nil
}
