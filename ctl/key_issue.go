package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilcontract"
	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilwire"
)

func init() {
	subcommands.Register(&keyIssue{info: info{
		name: "key-issue", args: "[flags] (-team NAME | -role operator)", synopsis: "issue a key",
		detail: "Makes a random secret, prints it once and sends only its hash. A team's key may be issued before the\nteam has a contract.",
	}}, keyGroup)
}

type keyIssue struct {
	info
	baseFlag
	team, role, label string
}

// secretBytes is the number of random bytes in a secret, 256 bits.
const secretBytes = 32

func (c *keyIssue) SetFlags(f *flag.FlagSet) {
	c.declare(f)
	f.StringVar(&c.team, "team", "", "`NAME` of the team that the key is for")
	f.StringVar(&c.role, "role", string(anvilconfig.TeamRole), "`ROLE`: team or operator")
	f.StringVar(&c.label, "label", "", "`TEXT` that describes what the key is used for; at most 128 bytes")
}

func (c *keyIssue) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, e *env) error {
		if err := c.validate(); err != nil {
			return err
		}
		secret := newSecret()
		key := anvilconfig.NewKey(anvilconfig.HashKey(secret), c.team, anvilconfig.Role(c.role), c.label)
		accepted, err := e.change(ctx, c.baseFlag, func(_ *anvilwire.Config, base int64) (anvilclient.AcceptedChange, error) {
			return e.client.ChangeKey(ctx, anvilclient.Put, key, base)
		})
		if err != nil {
			if anvilclient.Outcome(err) == anvilerror.Unknown {
				e.note("key %s may be in force, but its secret was not printed; withdraw the key if key-list shows it", shortHash(key.Hash()))
			}
			return err
		}
		return e.reportChange(ctx, accepted, anvilview.NewRecord().Set("secret", secret).Set("hash", key.Hash()))
	})
}

func (c *keyIssue) validate() error {
	switch anvilconfig.Role(c.role) {
	case anvilconfig.OperatorRole:
		if c.team != "" {
			return usageError("an operator's key has no team")
		}
	case anvilconfig.TeamRole:
		if !anvilcontract.IsName(c.team) {
			return usageError("a team's key needs -team NAME")
		}
	default:
		return usageError("-role must be team or operator")
	}
	return nil
}

// newSecret returns random bytes in unpadded URL-safe base64, 43 characters.
func newSecret() string {
	b := make([]byte, secretBytes)
	// rand.Read never returns an error: it crashes the program if the random source of the system fails.
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}
