package anvilevent

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"anvilhold.org/lib/internal/anvilassert"
)

const page = "../../docs/events.md"

// constants returns the names of the exported constants of type ID by number.
func constants(t *testing.T) map[ID][]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	anvilassert.NoError(t, err)
	out := map[ID][]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); !ok || typ.Name != "ID" || !spec.Names[0].IsExported() {
			return true
		}
		number, err := strconv.Atoi(spec.Values[0].(*ast.BasicLit).Value)
		anvilassert.NoError(t, err)
		out[ID(number)] = append(out[ID(number)], spec.Names[0].Name)
		return true
	})
	return out
}

// rows returns the table rows of the page whose first column is a number.
func rows(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	anvilassert.NoError(t, err)
	var out []string
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		if _, err := strconv.Atoi(strings.TrimSpace(cells[1])); err == nil {
			out = append(out, line)
		}
	}
	return out
}

// Guards against an event that is logged without a name because it is missing from the catalogue.
func TestCatalogue(t *testing.T) {
	listed := map[ID]bool{}
	names := map[string]bool{}
	last := ID(0)
	for _, e := range Catalogue() {
		anvilassert.True(t, !listed[e.ID()], "number %d is listed twice", e.ID())
		anvilassert.True(t, !names[e.Name()], "name %q is listed twice", e.Name())
		anvilassert.True(t, e.ID() > last, "number %d is out of order", e.ID())
		anvilassert.True(t, e.Name() != "" && e.Text() != "" && e.ID().Name() == e.Name(), "event %d is incomplete", e.ID())
		listed[e.ID()], names[e.Name()], last = true, true, e.ID()
	}
	exported := constants(t)
	for id, names := range exported {
		t.Run(names[0], func(t *testing.T) {
			anvilassert.Equal(t, "constants with one number", len(names), 1)
			anvilassert.True(t, listed[id], "number %d is not in the catalogue", id)
		})
	}
	anvilassert.Equal(t, "events in the catalogue", len(listed), len(exported))
}

// Guards against a page that lacks an event, or lists one that was removed or reworded.
func TestPage(t *testing.T) {
	var want []string
	for _, e := range Catalogue() {
		want = append(want, fmt.Sprintf("| %d | %s | %s |", e.ID(), e.Name(), e.Text()))
	}
	got := rows(t)
	for i := range max(len(got), len(want)) {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			anvilassert.True(t, i < len(got), "the page lacks %s", want[min(i, len(want)-1)])
			anvilassert.True(t, i < len(want), "the page lists %s", got[min(i, len(got)-1)])
			anvilassert.Equal(t, "row of the page", got[i], want[i])
		})
	}
}
