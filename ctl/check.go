package main

import (
	"context"
	"flag"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilcontract"
	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&checkCommand{info{
		name: "check", args: "FILE", synopsis: "check a contract file",
		detail: "Prints every mistake in a contract file without contacting an entry instance. The settings of an entry\ninstance are checked by anvilentry check.",
	}}, localGroup)
}

type checkCommand struct{ info }

func (*checkCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 1, 1, func(_ context.Context, e *env) error {
		file := f.Arg(0)
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if isSettings(string(text)) {
			return usageError(file + " contains settings of an entry instance; use: anvilentry check -settings " + file)
		}
		c, err := anvilcontract.Parse(file, string(text))
		if err != nil {
			return err
		}
		return e.show(anvilview.NewRecord().Set("file", file).Set("contract", c.Team()).Set("ok", true))
	})
}

// isSettings reports whether the text of a TOML file has a section that only the settings of an entry instance have.
func isSettings(text string) bool {
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return false
	}
	for _, section := range []string{"instance", "listen", "platform", "ownership", "limits", "leave", "log", "security"} {
		if _, ok := tree[section].(map[string]any); ok {
			return true
		}
	}
	return false
}
