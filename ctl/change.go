package main

import (
	"context"
	"errors"
	"flag"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilwire"
)

// baseFlag is the version that a change is based on.
type baseFlag struct {
	base int64
}

func (b *baseFlag) declare(f *flag.FlagSet) {
	f.Int64Var(&b.base, "base", 0, "`VERSION` that the change is based on (default the one read just before)")
}

// changeFunc makes a change on top of the configuration just read.
type changeFunc func(cfg *anvilwire.Config, base int64) (anvilclient.Changed, error)

// change makes a change and returns the version at which it is in force. After a conflict it tells
// what the other operator changed.
func (t *tool) change(ctx context.Context, b baseFlag, do changeFunc) (anvilclient.Changed, error) {
	if b.base < 0 {
		return anvilclient.Changed{}, usageError("-base is negative")
	}
	cfg, err := t.client.Config(ctx)
	if err != nil {
		return anvilclient.Changed{}, err
	}
	base := b.base
	if base == 0 {
		base = cfg.GetVersion()
	}
	done, err := do(cfg, base)
	var conflict *anvilclient.ConflictError
	if errors.As(err, &conflict) {
		t.explainConflict(ctx, cfg, base)
	}
	return done, err
}

func (t *tool) explainConflict(ctx context.Context, before *anvilwire.Config, base int64) {
	after, err := t.client.Config(ctx)
	if err != nil {
		t.note("the configuration can't be read again: %v", err)
		return
	}
	if base < before.GetVersion() {
		t.note("based on version %d; version %d was already in force", base, before.GetVersion())
	}
	for _, d := range differences(configSnapshot(before), configSnapshot(after)) {
		t.note("changed between version %d and %d: %s", before.GetVersion(), after.GetVersion(), d)
	}
}

// settle waits if asked to and prints the version at which a change is in force, after the lines of
// more.
func (t *tool) settle(ctx context.Context, done anvilclient.Changed, more *anvilview.Record) error {
	more.Set("change", done.ID()).Set("version", done.Version())
	if !t.wait {
		return t.show(more)
	}
	err := t.client.Wait(ctx, done.Version())
	more.Set("everywhere", err == nil)
	return errors.Join(t.show(more), err)
}
