package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&traceCommand{info: info{
		name: "trace", args: "ID FILE...", synopsis: "order the log lines about a job",
		detail: "Prints the lines of several log files about a job, its steps, its tasks and the calls about it in the\n" +
			"order of their times, and names the line that decided its end. Asks no entry instance.",
	}}, localGroup)
}

type traceCommand struct{ info }

// Execute runs the command.
func (*traceCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 2, maxTraceFiles, func(_ context.Context, t *tool) error {
		var lines []traceLine
		for _, file := range f.Args()[1:] {
			found, err := readTrace(file, f.Arg(0))
			if err != nil {
				return err
			}
			lines = append(lines, found...)
		}
		if len(lines) == 0 {
			return missing("no line about %s", f.Arg(0))
		}
		slices.SortStableFunc(lines, func(a, b traceLine) int { return strings.Compare(a.at, b.at) })
		list := anvilview.NewTable("time", "event", "name", "what")
		for _, l := range lines {
			list.Add(l.at, l.event, l.name, l.what)
		}
		if err := t.show(list); err != nil {
			return err
		}
		d := decisive(lines)
		t.note("decisive: %s %s %s", d.at, d.name, d.what)
		return nil
	})
}

// maxTraceFiles bounds the log files of one call.
const maxTraceFiles = 400

// traceLine is a log line about the job.
type traceLine struct {
	at, event, name, what string
}

// readTrace returns the lines of a file about a job. What precedes the JSON of a line is left out, since
// collectors put names and times there.
func readTrace(file, id string) ([]traceLine, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }()
	var out []traceLine
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		text := scan.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 || !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
			continue
		}
		out = append(out, newTraceLine(fields))
	}
	return out, scan.Err()
}

func newTraceLine(fields map[string]any) traceLine {
	l := traceLine{at: fmt.Sprint(fields["ts"]), event: fmt.Sprint(fields["event"]), name: fmt.Sprint(fields["msg"])}
	var names []string
	for name := range fields {
		if !slices.Contains([]string{"ts", "event", "msg", "level"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	l.what = strings.Join(parts, " ")
	return l
}

// decisive returns the line that tells most about the end: the last refusal or failure, otherwise the
// longest wait for a worker, otherwise the last line.
func decisive(lines []traceLine) traceLine {
	for _, names := range [][]string{{"job refused", "task spent"}, {"worker lapsed", "run stalled"}} {
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
		for part := range strings.FieldsSeq(l.what) {
			if v, ok := strings.CutPrefix(part, "waited="); ok {
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
