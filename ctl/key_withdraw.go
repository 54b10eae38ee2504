package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilwire"
)

func init() {
	subcommands.Register(&keyWithdraw{info: info{
		name: "key-withdraw", args: "[-base VERSION] HASH", synopsis: "withdraw a key",
		detail: "Withdraws the key whose hash begins with HASH. HASH has at least 8 digits and must match only one key.",
	}}, keyGroup)
}

type keyWithdraw struct {
	info
	baseFlag
}

// minHashLen is the length in hexadecimal digits below which a mistyped hash could match another key.
const minHashLen = 8

func (c *keyWithdraw) SetFlags(f *flag.FlagSet) { c.declare(f) }

func (c *keyWithdraw) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 1, 1, func(ctx context.Context, e *env) error {
		if len(f.Arg(0)) < minHashLen {
			return usageError(fmt.Sprintf("HASH needs at least %d digits", minHashLen))
		}
		var hash string
		accepted, err := e.change(ctx, c.baseFlag, func(cfg *anvilwire.Config, base int64) (anvilclient.AcceptedChange, error) {
			var err error
			if hash, err = findKey(cfg, f.Arg(0)); err != nil {
				return anvilclient.AcceptedChange{}, err
			}
			return e.client.ChangeKey(ctx, anvilclient.Delete, anvilconfig.NewKey(hash, "", "", ""), base)
		})
		if err != nil {
			return err
		}
		return e.reportChange(ctx, accepted, anvilview.NewRecord().Set("withdrawn", hash))
	})
}

// findKey returns the hash of the only key whose hash begins with prefix. Its errors don't include prefix, because
// the operator may have passed the secret instead of the hash.
func findKey(cfg *anvilwire.Config, prefix string) (string, error) {
	var found []string
	for _, k := range cfg.GetKeys() {
		if strings.HasPrefix(k.GetHash(), prefix) {
			found = append(found, k.GetHash())
		}
	}
	switch len(found) {
	case 0:
		return "", missingError("no key has a hash with this prefix at version %d", cfg.GetVersion())
	case 1:
		return found[0], nil
	default:
		return "", usageError(fmt.Sprintf("%d keys have hashes with this prefix", len(found)))
	}
}
