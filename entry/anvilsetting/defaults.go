package anvilsetting

import (
	"fmt"
	"strings"
)

// Defaults returns a settings file with all keys, their documentation and their defaults. A key has an example instead
// if it has no default, or if the default needs certificate files.
func Defaults() string {
	var b strings.Builder
	b.WriteString("# Settings of anvilentry; see anvilentry.toml(5). Print this file with \"anvilentry defaults\".\n")
	for _, sec := range (&Settings{}).sections() {
		fmt.Fprintf(&b, "\n# %s\n[%s]\n", sec.doc, sec.name)
		for _, k := range sec.keys {
			kind := "Default: " + literal(k.value.defaultValue())
			if k.required {
				kind = "Required"
			}
			fmt.Fprintf(&b, "\n# %s\n# Accepted: %s. %s.\n%s = %s\n", k.doc, k.value.accepted(), kind, k.name, literal(k.fileValue()))
		}
	}
	return b.String()
}
