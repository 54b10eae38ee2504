package anvilcontract

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilsize"
)

func assertContract(t *testing.T, text string, want anvilconfig.Contract) {
	t.Helper()
	got, err := Parse("team.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	if Format(got) != Format(want) {
		t.Fatalf("got\n%swant\n%s", Format(got), Format(want))
	}
}

// assertMistakes requires that Parse of text reports mistakes that begin with want, one a line, in this order. want
// omits the file name.
func assertMistakes(t *testing.T, text string, want ...string) {
	t.Helper()
	_, err := Parse("team.toml", text)
	var m *MistakeError
	if !errors.As(err, &m) {
		t.Fatalf("got %v, want a MistakeError", err)
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) != len(want) {
		t.Fatalf("got %d mistakes, want %d:\n%v", len(lines), len(want), err)
	}
	for i, w := range want {
		if !strings.HasPrefix(lines[i], "team.toml:"+w) {
			t.Fatalf("mistake %d: got %s, want %s", i, lines[i], w)
		}
	}
}

// Guards against a contract that differs from its file in a value or a default.
func TestParse(t *testing.T) {
	t.Run("all keys", func(t *testing.T) {
		assertContract(t, "team = \"red\"\nlimit = \"16,32768,2\"\nweight = 3\nrate = 10\nflight = 5\npools = [\"layout\", \"cutting\"]\n",
			anvilconfig.NewContract("red", anvilconfig.WithLimit(anvilsize.New(16_000, 32_768, 2)), anvilconfig.WithWeight(3),
				anvilconfig.WithRate(10), anvilconfig.WithMaxInFlight(5), anvilconfig.WithPools("layout", "cutting")))
	})
	t.Run("defaults", func(t *testing.T) {
		assertContract(t, "team = \"red\"\nlimit = \"500m,256\"", anvilconfig.NewContract("red", anvilconfig.WithLimit(anvilsize.New(500, 256, 0))))
	})
	t.Run("output of Format", func(t *testing.T) {
		c := anvilconfig.NewContract("red", anvilconfig.WithLimit(anvilsize.New(1, 2, 3)), anvilconfig.WithRate(4), anvilconfig.WithPools("a.b", "c"))
		assertContract(t, Format(c), c)
	})
}

// Guards against a mistake that is accepted or reported without its line or the accepted values.
func TestMistakes(t *testing.T) {
	const head = "team = \"red\"\nlimit = \"16,32768,0\"\n"
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"empty file":       {"", []string{"1: team is missing; it must be a name", "1: limit is missing; it must be"}},
		"not TOML":         {"team red", []string{"1: "}},
		"duplicate key":    {head + "team = \"blue\"", []string{"3: "}},
		"unknown key":      {head + "\ncolour = 1", []string{"4: unknown key colour; the keys are team"}},
		"unknown table":    {head + "[limits]\ncpu = 1", []string{"3: unknown key limits"}},
		"capital letter":   {head + "Rate = 1", []string{"3: unknown key Rate"}},
		"team with slash":  {"team = \"a/b\"\nlimit = \"1\"", []string{"1: team is not accepted (\"a/b\"); it must be a name of 1 to 64"}},
		"team too long":    {"team = \"" + strings.Repeat("a", 65) + "\"\nlimit = \"1\"", []string{"1: team"}},
		"limit not text":   {"team = \"red\"\nlimit = 16", []string{"2: limit is not accepted (16); it must be \"CPU,MEMORY,ACCEL\""}},
		"limit negative":   {"team = \"red\"\nlimit = \"-1\"", []string{"2: limit"}},
		"four-part limit":  {"team = \"red\"\nlimit = \"1,2,3,4\"", []string{"2: limit"}},
		"limit too large":  {"team = \"red\"\nlimit = \"1000001\"", []string{"2: limit"}},
		"weight 0":         {head + "weight = 0", []string{"3: weight is not accepted (0); it must be a whole number from 1 to 1000000"}},
		"weight as text":   {head + "weight = \"2\"", []string{"3: weight"}},
		"rate negative":    {head + "rate = -1", []string{"3: rate is not accepted (-1); it must be a whole number from 0 (no limit) to 1000000"}},
		"flight too large": {head + "flight = 1000001", []string{"3: flight"}},
		"rate fraction":    {head + "rate = 1.5", []string{"3: rate"}},
		"pools not a list": {head + "pools = \"layout\"", []string{"3: pools is not accepted (\"layout\"); it must be a list of at most 64 names"}},
		"pool not a name":  {head + "pools = [\"a b\"]", []string{"3: pools"}},
		"pool not text":    {head + "pools = [1]", []string{"3: pools"}},
		"too many pools":   {head + "pools = [" + strings.Repeat("\"p\",", 65) + "]", []string{"3: pools"}},
		"two mistakes":     {"team = \"red\"\nrate = -1\nlimit = 1\n", []string{"2: rate", "3: limit"}},
	} {
		t.Run(name, func(t *testing.T) { assertMistakes(t, c.text, c.want...) })
	}
}

// Guards against a difference that is missing or has its values swapped.
func TestDiff(t *testing.T) {
	a := anvilconfig.NewContract("red", anvilconfig.WithLimit(anvilsize.New(1000, 1, 0)), anvilconfig.WithPools("layout"))
	b := anvilconfig.NewContract("red", anvilconfig.WithLimit(anvilsize.New(2000, 1, 0)), anvilconfig.WithRate(5))
	got := fmt.Sprint(Diff(a, b))
	if want := "[{limit 1000m,1,0 2000m,1,0} {rate 0 5} {pools layout all}]"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	if none := Diff(a, a); len(none) > 0 {
		t.Fatalf("got %v for equal contracts, want none", none)
	}
}
