package anvilsetting

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
)

// base is a valid settings file, in which each test replaces one line.
const base = `[instance]
name = "entry"
domain = "a"
region = "main"
[listen]
front = "127.0.0.1:7070"
peer = "127.0.0.1:7071"
[platform]
table = "127.0.0.1:7090"
[ownership]
lease = 8000
margin = 2000
[limits]
connections = 2000
flight = 1000
[leave]
notice = 2000
drain = 30000
[log]
level = "info"
[security]
plain = true
`

func assertError(t *testing.T, text, want string, line int, kind error) {
	t.Helper()
	_, err := Parse("f.toml", text)
	if err == nil {
		t.Fatal("the settings were accepted")
	}
	list := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		list = joined.Unwrap()
	}
	if len(list) != 1 {
		t.Fatalf("got %d errors: %v", len(list), err)
	}
	var located positionError
	if !errors.As(list[0], &located) || located.File() != "f.toml" || located.Line() != line {
		t.Fatalf("want line %d: %v", line, err)
	}
	if reflect.TypeOf(list[0]) != reflect.TypeOf(kind) || !strings.Contains(err.Error(), want) {
		t.Fatalf("got %T %v, want %T with %q", list[0], err, kind, want)
	}
}

// Guards against an invalid setting that is accepted, or that is reported without its line and the accepted values.
func TestErrors(t *testing.T) {
	for name, c := range map[string]struct {
		from, to, want string
		line           int
		kind           error
	}{
		"syntax":                    {`drain = 30000`, `drain = `, "expected value", 18, &SyntaxError{}},
		"duplicate key":             {`drain = 30000`, "drain = 1\ndrain = 2", "drain", 19, &SyntaxError{}},
		"unknown key":               {`level = "info"`, "level = \"info\"\ncolour = 1", "log.colour", 21, &UnknownKeyError{}},
		"unknown section":           {"[log]", "[logs]\n[log]", "logs", 19, &UnknownKeyError{}},
		"missing key":               {`domain = "a"` + "\n", "", "instance.domain is missing", 1, &MissingError{}},
		"number as text":            {`lease = 8000`, `lease = "8000"`, "from 2000 to 60000 (ms)", 11, &TypeError{}},
		"fraction":                  {`lease = 8000`, `lease = 8000.5`, "whole number", 11, &TypeError{}},
		"text as number":            {`level = "info"`, `level = 1`, "one of debug, info, error", 20, &TypeError{}},
		"boolean as text":           {`plain = true`, `plain = "yes"`, "true or false", 22, &TypeError{}},
		"under range":               {`lease = 8000`, `lease = 1999`, "from 2000 to 60000 (ms)", 11, &RangeError{}},
		"over range":                {`lease = 8000`, `lease = 60001`, "from 2000 to 60000 (ms)", 11, &RangeError{}},
		"unknown level":             {`level = "info"`, `level = "loud"`, "one of debug, info, error", 20, &RangeError{}},
		"dot in a name":             {`domain = "a"`, `domain = "a.b"`, "letters", 3, &RangeError{}},
		"empty name":                {`domain = "a"`, `domain = ""`, "letters", 3, &RangeError{}},
		"host name":                 {`front = "127.0.0.1:7070"`, `front = "localhost:7070"`, "ip:port", 6, &RangeError{}},
		"port zero":                 {`front = "127.0.0.1:7070"`, `front = "127.0.0.1:0"`, "ip:port", 6, &RangeError{}},
		"unreachable peer":          {`peer = "127.0.0.1:7071"`, `peer = "0.0.0.0:7071"`, "others can reach", 7, &RangeError{}},
		"not a hash":                {`plain = true`, "plain = true\nbootstrap = \"secret\"", "SHA-256", 23, &RangeError{}},
		"margin over half of lease": {`margin = 2000`, `margin = 4001`, "half of lease", 12, &CombinationError{}},
		"notice over drain":         {`notice = 2000`, `notice = 30001`, "at most drain", 17, &CombinationError{}},
		"flight over connections":   {`flight = 1000`, `flight = 2001`, "at most connections", 15, &CombinationError{}},
		"same address":              {`peer = "127.0.0.1:7071"`, `peer = "127.0.0.1:7070"`, "different addresses", 7, &CombinationError{}},
		"address of table":          {`table = "127.0.0.1:7090"`, `table = "127.0.0.1:7070"`, "address of a listener", 9, &CombinationError{}},
		"cert without key":          {`plain = true`, "plain = false\ncert = \"c\"\nca = \"a\"", "together", 23, &CombinationError{}},
		"plain with cert":           {`plain = true`, "plain = true\ncert = \"c\"\nkey = \"k\"", "plain must be false", 22, &CombinationError{}},
		"neither plain nor cert":    {`plain = true`, `plain = false`, "must be set unless plain", 22, &CombinationError{}},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(base, c.from, c.to, 1)
			if text == base {
				t.Fatal("the base file doesn't contain the text to replace")
			}
			assertError(t, text, c.want, c.line, c.kind)
		})
	}
	t.Run("section not a table", func(t *testing.T) {
		text := "log = 5\n" + strings.Replace(base, "[log]\nlevel = \"info\"\n", "", 1)
		assertError(t, text, "a table", 1, &TypeError{})
	})
	t.Run("several errors", func(t *testing.T) {
		text := strings.NewReplacer(`lease = 8000`, `lease = 1`, `level = "info"`, `level = 1`).Replace(base)
		_, err := Parse("f.toml", text)
		if err == nil || strings.Index(err.Error(), "f.toml:11:") != 0 || !strings.Contains(err.Error(), "f.toml:20:") {
			t.Fatalf("got %v", err)
		}
	})
}

// Guards against a value that differs from the file's or, if the key is missing there, from the default.
func TestParse(t *testing.T) {
	s, err := Parse("f.toml", base)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("set in the file", func(t *testing.T) {
		if s.Instance().Domain() != "a" || s.Listen().Peer() != "127.0.0.1:7071" || s.Ownership().Lease() != 8000 || !s.Security().Plain() {
			t.Fatalf("settings %+v", s)
		}
	})
	t.Run("defaults", func(t *testing.T) {
		if s.Limits().Body() != 1<<20 || s.Limits().Queue() != 4096 || s.Limits().Wait() != 2000 || s.Ownership().Shards() != 2 || s.Log().ExitOnViolation() {
			t.Fatalf("settings %+v", s)
		}
	})
}

// Guards against a default file that Parse rejects, and against a copy of it in docs that is out of date.
func TestDefaults(t *testing.T) {
	if _, err := Parse("defaults", Defaults()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../../docs/anvilentry.toml")
	if err != nil || string(text) != Defaults() {
		t.Fatalf("docs/anvilentry.toml differs from \"anvilentry defaults\" (%v)", err)
	}
}
