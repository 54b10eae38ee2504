package anvilhost

import (
	"bytes"
	"strconv"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// instructions are the lines of a task's body that control the simulated run, such as "work=100" or "fail". The other
// lines of the body are ignored.
type instructions struct {
	work    anvilclock.Millis // run time at full speed
	endless bool              // runs until it is stopped
	fail    bool              // fails when its work is done
	usage   anvilsize.Size
}

// parseInstructions reads the body of a start request. A service without a run time runs until it is stopped.
func parseInstructions(req *StartRequest) instructions {
	s := instructions{work: req.runTime, endless: req.kind == kindService && req.runTime == 0, usage: req.size}
	if req.kind == kindCall {
		s.work = 0
	}
	for line := range bytes.Lines(req.body) {
		name, value, _ := strings.Cut(string(bytes.TrimSpace(line)), "=")
		switch name {
		case "work":
			if n, err := strconv.ParseInt(value, 10, 64); err == nil && n >= 0 && n <= int64(maxRunTime) {
				s.work, s.endless = anvilclock.Millis(n), false
			}
		case "fail":
			s.fail = s.fail || value == ""
		case "use":
			if use, ok := parseUsage(value); ok {
				s.usage = use
			}
		}
	}
	return s
}

// parseUsage parses "<millicores>,<MiB>,<accelerators>". It returns false when the text is malformed.
func parseUsage(text string) (anvilsize.Size, bool) {
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
