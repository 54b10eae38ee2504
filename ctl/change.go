package main

import (
	"context"
	"errors"
	"flag"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilwire"
)

// baseFlag is the flag -base: the configuration version that a change is based on, 0 if it isn't given.
type baseFlag struct {
	base int64
}

func (b *baseFlag) declare(f *flag.FlagSet) {
	f.Int64Var(&b.base, "base", 0, "configuration `VERSION` that the change is based on (default the version in force)")
}

// changeFunc sends a change to version base of the configuration. cfg is the configuration in force, which may be
// newer than base.
type changeFunc func(cfg *anvilwire.Config, base int64) (anvilclient.AcceptedChange, error)

// change reads the configuration and calls send. The base is the flag -base or else the version just read. After a
// conflict it prints what other operators changed.
func (e *env) change(ctx context.Context, b baseFlag, send changeFunc) (anvilclient.AcceptedChange, error) {
	if b.base < 0 {
		return anvilclient.AcceptedChange{}, usageError("-base is negative")
	}
	cfg, err := e.client.Config(ctx)
	if err != nil {
		return anvilclient.AcceptedChange{}, err
	}
	base := b.base
	if base == 0 {
		base = cfg.GetVersion()
	}
	accepted, err := send(cfg, base)
	var conflict *anvilclient.ConflictError
	if errors.As(err, &conflict) {
		e.explainConflict(ctx, cfg, base)
	}
	return accepted, err
}

// explainConflict prints the differences between the configuration that was read before the change and the one in
// force now.
func (e *env) explainConflict(ctx context.Context, before *anvilwire.Config, base int64) {
	after, err := e.client.Config(ctx)
	if err != nil {
		e.note("the configuration can't be read after the conflict: %v", err)
		return
	}
	if base < before.GetVersion() {
		e.note("based on version %d; version %d was already in force", base, before.GetVersion())
	}
	for _, d := range differences(configSnapshot(before), configSnapshot(after)) {
		e.note("changed between version %d and %d: %s", before.GetVersion(), after.GetVersion(), d)
	}
}

// reportChange adds the id and version of an accepted change to record and prints it. With -wait it first waits
// until the change is in force on every live entry instance, and adds whether it is.
func (e *env) reportChange(ctx context.Context, accepted anvilclient.AcceptedChange, record *anvilview.Record) error {
	record.Set("change", accepted.ID()).Set("version", accepted.Version())
	if !e.wait {
		return e.show(record)
	}
	err := e.client.Wait(ctx, accepted.Version())
	record.Set("everywhere", err == nil)
	return errors.Join(e.show(record), err)
}
