// Package anvilview writes the results of commands as aligned text or as JSON.
package anvilview

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Percent is a fraction in parts per million. Text output shows it in percent, JSON output as the number.
type Percent int64

// Table is a list of rows with named columns. It is not safe for concurrent use.
type Table struct {
	columns []string
	rows    [][]any
}

// NewTable returns a table without rows.
func NewTable(columns ...string) *Table { return &Table{columns: columns} }

// Add appends a row. It needs one value for each column, in their order.
func (t *Table) Add(values ...any) { t.rows = append(t.rows, values) }

// Len returns the number of rows, without the line of column names.
func (t *Table) Len() int { return len(t.rows) }

// WriteText writes a line of column names and a line for each row, in aligned columns. It replaces control characters
// by question marks, because some values come from callers and workers and could control the terminal.
func (t *Table) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(tw, strings.Join(t.columns, "\t")); err != nil {
		return err
	}
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(tw, strings.Join(formatCells(row), "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// WriteJSON writes an array with an object for each row; the keys are the column names.
func (t *Table) WriteJSON(w io.Writer) error {
	list := make([]json.RawMessage, 0, len(t.rows))
	for _, row := range t.rows {
		text, err := formatObject(t.columns, row)
		if err != nil {
			return err
		}
		list = append(list, text)
	}
	return writeJSON(w, list)
}

// Record is a list of named values. It is not safe for concurrent use.
type Record struct {
	names  []string
	values []any
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{} }

// Set appends a value and returns the record, so that calls can be chained. It doesn't replace an earlier value of the
// same name.
func (r *Record) Set(name string, value any) *Record {
	r.names, r.values = append(r.names, name), append(r.values, value)
	return r
}

// WriteText writes a line with name and value for each value. It replaces control characters as Table.WriteText does.
func (r *Record) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, c := range formatCells(r.values) {
		if _, err := fmt.Fprintf(tw, "%s\t%s\n", r.names[i], c); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// WriteJSON writes an object with the values in the order in which they were set.
func (r *Record) WriteJSON(w io.Writer) error {
	text, err := formatObject(r.names, r.values)
	if err != nil {
		return err
	}
	return writeJSON(w, text)
}

// Message is a protobuf message together with its text output.
type Message struct {
	text    string
	message proto.Message
}

// NewMessage returns a Message that WriteText writes as text, unchanged, and WriteJSON as m.
func NewMessage(text string, m proto.Message) Message { return Message{text: text, message: m} }

// WriteText writes the text given to NewMessage.
func (m Message) WriteText(w io.Writer) error {
	_, err := io.WriteString(w, m.text)
	return err
}

// WriteJSON writes the protobuf message in its JSON mapping. Fields with default values are left out.
func (m Message) WriteJSON(w io.Writer) error {
	text, err := protojson.Marshal(m.message)
	if err != nil {
		return err
	}
	return writeJSON(w, json.RawMessage(text))
}

// writeJSON writes v with an indent of two spaces. It also normalises the spacing of protojson, which varies between
// builds.
func writeJSON(w io.Writer, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

// formatObject returns a JSON object with the names in the given order.
func formatObject(names []string, values []any) (json.RawMessage, error) {
	var b bytes.Buffer
	for i, name := range names {
		v := values[i]
		if s, ok := v.(fmt.Stringer); ok {
			v = s.String()
		}
		text, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&b, ",%q:%s", name, text)
	}
	return json.RawMessage("{" + strings.TrimPrefix(b.String(), ",") + "}"), nil
}

func formatCells(values []any) []string {
	out := make([]string, 0, len(values))
	for _, v := range values {
		out = append(out, formatCell(v))
	}
	return out
}

// formatCell returns the text of a value, "-" if it is empty.
func formatCell(v any) string {
	text := fmt.Sprint(v)
	switch v := v.(type) {
	case []string:
		text = strings.Join(v, " ")
	case Percent:
		text = fmt.Sprintf("%.2f%%", float64(v)/10_000)
	case bool:
		text = map[bool]string{true: "yes", false: "no"}[v]
	}
	if text == "" {
		return "-"
	}
	return strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f {
			return '?'
		}
		return c
	}, text)
}
