package anvilhost

import (
	"bytes"
	"strconv"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// script is what the body of a task tells the stand-in to do. Lines that are no instruction are
// payload.
type script struct {
	work    anvilclock.Millis
	endless bool
	fail    bool
	use     anvilsize.Size
}

// parseScript reads the body of o. A service without a run time works until it is stopped.
func parseScript(o *Order) script {
	s := script{work: o.run, endless: o.kind == kindService && o.run == 0, use: o.size}
	if o.kind == kindCall {
		s.work = 0
	}
	for line := range bytes.Lines(o.body) {
		name, value, _ := strings.Cut(string(bytes.TrimSpace(line)), "=")
		switch name {
		case "work":
			if n, err := strconv.ParseInt(value, 10, 64); err == nil && n >= 0 && n <= int64(maxRun) {
				s.work, s.endless = anvilclock.Millis(n), false
			}
		case "fail":
			s.fail = s.fail || value == ""
		case "use":
			if use, ok := parseUse(value); ok {
				s.use = use
			}
		}
	}
	return s
}

// parseUse reads "<millicores>,<MiB>,<accelerators>".
func parseUse(text string) (anvilsize.Size, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return anvilsize.Size{}, false
	}
	var n [3]int64
	for i, p := range parts {
		v, err := strconv.ParseInt(p, 10, 64)
		if err != nil || v < 0 || v > 1_000_000_000 {
			return anvilsize.Size{}, false
		}
		n[i] = v
	}
	return anvilsize.New(n[0], n[1], n[2]), true
}
