package anvillink

import "anvilhold.org/entry/anvilstorage"

func encodeRows(rows []anvilstorage.Row) []*Row {
	out := make([]*Row, 0, len(rows))
	for _, r := range rows {
		m := &Row{}
		m.SetTable(string(r.Table()))
		m.SetKey(r.Key())
		m.SetValue(r.Value())
		m.SetVersion(r.Version())
		out = append(out, m)
	}
	return out
}

func parseRows(rows []*Row) []anvilstorage.Row {
	out := make([]anvilstorage.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, anvilstorage.ReadRow(anvilstorage.Table(r.GetTable()), r.GetKey(), r.GetValue(), r.GetVersion(), false))
	}
	return out
}
