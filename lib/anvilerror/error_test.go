package anvilerror

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"anvilhold.org/lib/internal/anvilassert"
)

const page = "../../docs/errors.md"

// constants returns the exported constants of type Code.
func constants(t *testing.T) []Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "error.go", nil, 0)
	anvilassert.NoError(t, err)
	var out []Code
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); ok && typ.Name == "Code" && spec.Names[0].IsExported() {
			text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			anvilassert.NoError(t, err)
			out = append(out, Code(text))
		}
		return true
	})
	return out
}

// Guards against a code that Codes omits or lists twice.
func TestCodes(t *testing.T) {
	anvilassert.Equal(t, "codes", Codes(), constants(t))
	seen := map[Code]bool{}
	for _, c := range Codes() {
		anvilassert.True(t, !seen[c], "code %s is listed twice", c)
		seen[c] = true
	}
}

// row matches a table row of the page: code, status, meaning and advice, none of them empty.
var row = regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| (\\d{3}) \\| [^|]+ \\| [^|]+ \\|$")

// Guards against a page that lacks a code or its advice, or lists a code that was removed.
func TestPage(t *testing.T) {
	text, err := os.ReadFile(page)
	anvilassert.NoError(t, err)
	var got []Code
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		got = append(got, Code(m[1]))
	}
	anvilassert.Equal(t, "codes of the page", got, Codes())
}
