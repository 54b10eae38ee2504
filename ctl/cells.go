package main

import (
	"context"

	"anvilhold.org/lib/anvilwire"
)

// cells returns the cell status of the entry instance at each address, because an instance reports only the
// workers of the shards that it owns. An instance that several addresses reach is returned once. cells prints a
// note for each address that doesn't answer and when live instances are missing from the addresses. It returns
// an error only if no address answers.
func (e *env) cells(ctx context.Context) ([]*anvilwire.Cell, error) {
	var cells []*anvilwire.Cell
	var lastErr error
	seen := map[string]bool{}
	live := 0
	for _, addr := range e.client.Addrs() {
		cell, err := e.client.Cell(ctx, addr)
		if err != nil {
			e.note("%s: %v", addr, err)
			lastErr = err
			continue
		}
		live = max(live, len(cell.GetSessions()))
		if !seen[cell.GetInstance()] {
			seen[cell.GetInstance()] = true
			cells = append(cells, cell)
		}
	}
	if len(cells) == 0 {
		return nil, lastErr
	}
	if len(cells) < live {
		e.note("%d of %d entry instances were asked; add the others to -addr", len(cells), live)
	}
	return cells, nil
}

// anyCell returns the cell status of the first entry instance that answers, or the last error.
func (e *env) anyCell(ctx context.Context) (*anvilwire.Cell, error) {
	var lastErr error
	for _, addr := range e.client.Addrs() {
		cell, err := e.client.Cell(ctx, addr)
		if err == nil {
			return cell, nil
		}
		lastErr = err
	}
	return nil, lastErr
}
