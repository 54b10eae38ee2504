package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&traceCommand{info: info{
		name: "trace", args: "ID FILE...", synopsis: "print the log lines about a job in order of time",
		detail: "Prints the lines of log files that concern a job, its steps, its tasks and its calls, ordered by time, and\n" +
			"names the line that best explains how the job ended. Contacts no entry instance.",
	}}, localGroup)
}

type traceCommand struct{ info }

func (*traceCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 2, maxTraceArgs, func(_ context.Context, e *env) error {
		var lines []traceLine
		for _, file := range f.Args()[1:] {
			found, err := readTrace(file, f.Arg(0))
			if err != nil {
				return err
			}
			lines = append(lines, found...)
		}
		if len(lines) == 0 {
			return missingError("no line about %s", f.Arg(0))
		}
		slices.SortStableFunc(lines, func(a, b traceLine) int { return strings.Compare(a.time, b.time) })
		table := anvilview.NewTable("time", "event", "name", "what")
		for _, l := range lines {
			table.Add(l.time, l.event, l.name, l.fields)
		}
		if err := e.show(table); err != nil {
			return err
		}
		d := decisiveLine(lines)
		e.note("decisive: %s %s %s", d.time, d.name, d.fields)
		return nil
	})
}

// maxTraceArgs bounds the number of arguments, which are the job id and the log files.
const maxTraceArgs = 400

// traceLine is a log line about the job: its time, number and name of the event and the remaining fields as
// "key=value" pairs, sorted by key.
type traceLine struct {
	time, event, name, fields string
}

// readTrace returns the lines of a file that contain id. It skips text before the JSON object of a line, because log
// collectors put source names and times there, and lines without a JSON object.
func readTrace(file, id string) ([]traceLine, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }()
	var out []traceLine
	r := bufio.NewReader(in)
	for {
		text, err := r.ReadString('\n')
		if err != nil && err != io.EOF {
			return out, err
		}
		if text == "" {
			return out, nil
		}
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue
		}
		out = append(out, newTraceLine(fields))
	}
}

func newTraceLine(fields map[string]any) traceLine {
	l := traceLine{time: fmt.Sprint(fields["ts"]), event: fmt.Sprint(fields["event"]), name: fmt.Sprint(fields["msg"])}
	var names []string
	for name := range fields {
		if !slices.Contains([]string{"ts", "event", "msg", "level"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	pairs := make([]string, 0, len(names))
	for _, name := range names {
		pairs = append(pairs, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	l.fields = strings.Join(pairs, " ")
	return l
}

// decisiveLine returns the line that best explains how the job ended: the last one about a refused job or a task that
// failed too often; else the last one about a lost worker or a stalled run; else the placement that waited longest for
// a worker; else the last line.
func decisiveLine(lines []traceLine) traceLine {
	for _, names := range [][]string{{"job refused", "task spent"}, {"worker lapsed", "run given up", "run stalled"}} {
		for _, l := range slices.Backward(lines) {
			if slices.Contains(names, l.name) {
				return l
			}
		}
	}
	best, longest := lines[len(lines)-1], 0.0
	for _, l := range lines {
		if l.name != "run placed" {
			continue
		}
		var waited float64
		for pair := range strings.FieldsSeq(l.fields) {
			if v, ok := strings.CutPrefix(pair, "waited="); ok {
				if _, err := fmt.Sscan(v, &waited); err != nil {
					waited = 0
				}
			}
		}
		if waited > longest {
			best, longest = l, waited
		}
	}
	return best
}
