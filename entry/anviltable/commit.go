package anviltable

import (
	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilwire"
)

// parseConflict returns the row that a commit conflicted with; the zero Row if there is none. When the row's value can't
// be decoded, the result still has its key, its version and the change that wrote it.
func parseConflict(m *anvilwire.Committed) anvilrow.Row {
	if !m.HasConflict() {
		return anvilrow.Row{}
	}
	row := m.GetConflict()
	if r, err := anvilcodec.ParseRow(row); err == nil {
		return r
	}
	return anvilrow.Read(row.GetKey(), nil, row.GetVersion(), row.GetChange(), row.GetDead())
}

func commitMessage(c anvilcontrol.Commit) (*anvilwire.Commit, error) {
	checks := make([]*anvilwire.Check, 0, len(c.Checks()))
	for _, check := range c.Checks() {
		checks = append(checks, anvilwire.Check_builder{Key: check.Key(), Version: check.Version()}.Build())
	}
	puts, err := anvilcodec.Rows(c.Puts())
	if err != nil {
		return nil, err
	}
	for _, row := range puts {
		row.SetChange(c.Change())
	}
	return anvilwire.Commit_builder{Change: c.Change(), Checks: checks, Puts: puts, Deletes: c.Deletes()}.Build(), nil
}
