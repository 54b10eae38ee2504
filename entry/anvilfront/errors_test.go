package anvilfront

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"anvilhold.org/lib/anvilerror"
)

// Guards against docs/errors.md listing another status than the one that callers get.
func TestErrorsPage(t *testing.T) {
	text, err := os.ReadFile("../../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, code := range anvilerror.Codes() {
		t.Run(string(code), func(t *testing.T) {
			m := regexp.MustCompile("(?m)^\\| `" + string(code) + "` \\| (\\d{3}) \\|").FindStringSubmatch(string(text))
			want := strconv.Itoa(statusOf(anvilerror.Refuse(code, "")))
			if m == nil || m[1] != want {
				t.Fatalf("the page says %v, want %s", m, want)
			}
		})
	}
}
