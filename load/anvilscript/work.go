package anvilscript

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcaller"
)

// record is a request of the script with all attempts to send it.
type record struct {
	task      *anviltask.Task
	attempts  []anvilaudit.Attempt
	ticket    string
	cancelled bool
}

// result holds the attempts of one command to send a request, and the outcome of the last one.
type result struct {
	record   *record
	attempts []anvilaudit.Attempt
	ticket   string
	text     string
	outcome  anvilerror.Outcome
	code     anvilerror.Code
	mismatch string
}

// sendOptions holds the flags of the commands that send requests.
type sendOptions struct {
	name, at, key, pool, size string
	work, wait                int64
	n, count, fill            int
	once, urgent              bool
	async, until              bool
}

func (o *sendOptions) declare(f *flag.FlagSet) {
	f.StringVar(&o.name, "id", "", "name of the request; the request with a known name is sent again")
	f.StringVar(&o.at, "at", "", "entry instance; any when empty")
	f.StringVar(&o.key, "key", "pamoja", "key")
	f.StringVar(&o.pool, "pool", "layout", "pool")
	f.StringVar(&o.size, "size", "100m,64,0", "size")
	f.Int64Var(&o.work, "work", 20, "run time in ms")
	f.Int64Var(&o.wait, "wait", 0, "queue deadline in ms")
	f.IntVar(&o.n, "n", 1, "number of requests that are sent at once")
	f.IntVar(&o.count, "count", 3, "tasks of a gang job")
	f.IntVar(&o.fill, "fill", 100, "bytes of the body")
	f.BoolVar(&o.once, "once", false, "not idempotent")
	f.BoolVar(&o.urgent, "urgent", false, "urgent")
	f.BoolVar(&o.until, "until", false, "send again while the outcome is not-run")
	f.BoolVar(&o.async, "async", false, "don't wait; the command answer returns the outcome")
}

// maxSends limits the requests that one command sends at once.
const maxSends = 200

// call sends service requests:
//
//	call [-id NAME] [-once] [-at eN] [-key team] [-work ms] [-n N] [outcome[,outcome] [code[,code]]]
//	call -async -id NAME ...
func (s *session) call(args []string) error { return s.send(anviltask.Call, args) }

// task submits a batch task, with the flags of call.
func (s *session) task(args []string) error { return s.send(anviltask.Batch, args) }

// gang submits a gang job of -count tasks, with the flags of call.
func (s *session) gang(args []string) error { return s.send(anviltask.Gang, args) }

func (s *session) send(kind anviltask.Kind, args []string) error {
	var o sendOptions
	rest, err := parse(string(kind), args, o.declare)
	if err != nil {
		return err
	}
	if o.n < 1 || o.n > maxSends || (o.async && (o.name == "" || len(rest) > 0)) {
		return fmt.Errorf("-n must be from 1 to %d; -async needs an -id and no outcome", maxSends)
	}
	if _, err := s.client(o.at); err != nil {
		return err
	}
	results := make(chan result, o.n)
	for i := range o.n {
		if err := s.launch(kind, o, i, results); err != nil {
			return err
		}
	}
	if o.async {
		s.inFlight[o.name] = append(s.inFlight[o.name], results)
		return nil
	}
	return s.collect(results, rest)
}

// launch sends one request on a new goroutine, which puts its result into results.
func (s *session) launch(kind anviltask.Kind, o sendOptions, i int, results chan<- result) error {
	key, team, err := s.secret(o.key)
	if err != nil {
		return err
	}
	client, err := s.client(o.at)
	if err != nil {
		return err
	}
	name := o.name
	if o.n > 1 && name != "" {
		name += strconv.Itoa(i + 1)
	}
	rec, sentBefore := s.records[name]
	if !sentBefore || name == "" {
		task, err := o.task(kind, team, i)
		if err != nil {
			return err
		}
		rec, sentBefore = &record{task: task, ticket: task.ID()}, false
		s.sent = append(s.sent, rec)
		if name != "" {
			s.records[name] = rec
		}
	}
	go func() { results <- s.deliver(client, rec, key, kind, sentBefore, o.until) }()
	return nil
}

// untilTimeout is how long a request with -until is retried. A takeover takes 5.5 s, and the capacity that a
// lost worker had reserved is free after its lease and margin.
const untilTimeout = 20 * time.Second

// deliver sends a request; with until it sends it again while the outcome is "not run". sentBefore is set if an earlier
// command has sent it.
func (s *session) deliver(client *anvilcaller.Client, rec *record, key string, kind anviltask.Kind, sentBefore, until bool) result {
	r := result{record: rec}
	deadline := time.Now().Add(untilTimeout)
	for {
		attempts, a := s.attempt(client, &r, key, kind, sentBefore)
		r.attempts = append(r.attempts, attempts...)
		for _, t := range attempts {
			r.mismatch += t.Mismatch()
		}
		r.outcome, r.code, r.text = a.Outcome(), a.Code(), string(a.Body())
		if !until || r.outcome != anvilerror.NotRun || time.Now().After(deadline) || !s.sleep(changeRetryInterval) {
			return r
		}
		sentBefore = true
	}
}

func (s *session) attempt(client *anvilcaller.Client, r *result, key string, kind anviltask.Kind, sentBefore bool) ([]anvilaudit.Attempt, anvilcaller.Answer) {
	task := r.record.task
	if kind != anviltask.Call {
		request, ticket, a := client.SubmitAnswer(s.ctx, key, task.With(anviltask.WithFirstAttempt(!sentBefore)))
		r.ticket = ticket
		return request.Attempts(), a
	}
	send := client.CallAnswer
	if sentBefore {
		send = client.CallAgain
	}
	request, a := send(s.ctx, key, task)
	return request.Attempts(), a
}

func (o *sendOptions) task(kind anviltask.Kind, team string, i int) (*anviltask.Task, error) {
	size, err := anvilsize.Parse(o.size)
	if err != nil {
		return nil, err
	}
	// The filler differs between the requests, so that an answer to another request is detected.
	body := fmt.Appendf(nil, "work=%d\n", o.work)
	body = append(body, bytes.Repeat([]byte{byte('a' + i%26)}, o.fill+i)...)
	opts := []anviltask.Option{
		anviltask.WithSize(size), anviltask.WithBody(body), anviltask.WithNonIdempotent(o.once),
		anviltask.WithUrgent(o.urgent), anviltask.WithMaxWait(anvilclock.Millis(o.wait)), anviltask.WithTeam(team, ""),
	}
	if kind != anviltask.Call {
		opts = append(opts, anviltask.WithRunTime(anvilclock.Millis(o.work)))
	}
	if kind == anviltask.Gang {
		opts = append(opts, anviltask.WithCount(o.count))
	}
	return anviltask.New(anviltask.NewID(), kind, o.pool, opts...), nil
}

// answer waits for requests that were sent with -async:
//
//	answer NAME [outcome[,outcome] [code[,code]]]
func (s *session) answer(args []string) error {
	if len(args) == 0 || s.inFlight[args[0]] == nil {
		return fmt.Errorf("answer needs the name of requests in flight")
	}
	pending := s.inFlight[args[0]]
	delete(s.inFlight, args[0])
	var failed error
	for _, results := range pending {
		failed = errors.Join(failed, s.collect(results, args[1:]))
	}
	return failed
}

// collect waits for the results of requests and compares each with what the script expects.
func (s *session) collect(results <-chan result, expected []string) error {
	outcomes, codes, err := parseExpected(expected, string(anvilerror.Done))
	if err != nil {
		return err
	}
	var wrong []string
	for range cap(results) {
		select {
		case r := <-results:
			s.addResult(r)
			if !matches(outcomes, string(r.outcome)) || !matches(codes, string(r.code)) || r.mismatch != "" {
				wrong = append(wrong, fmt.Sprintf("request %s: got outcome %q code %q, want %v %v %s: %.200s", r.record.task.ID(), r.outcome, r.code, outcomes, codes, r.mismatch, r.text))
			}
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
	if len(wrong) > 0 {
		return fmt.Errorf("%s", strings.Join(wrong, "\n"))
	}
	return nil
}

func (s *session) addResult(r result) {
	r.record.attempts = append(r.record.attempts, r.attempts...)
	if r.ticket != "" {
		r.record.ticket = r.ticket
	}
}

// parseExpected parses "[outcome[,outcome] [code[,code]]]". The default is the given outcome with any code.
func parseExpected(args []string, outcome string) (outcomes, codes []string, err error) {
	switch len(args) {
	case 0:
		return []string{outcome}, []string{"any"}, nil
	case 1:
		return strings.Split(args[0], ","), []string{"any"}, nil
	case 2:
		return strings.Split(args[0], ","), strings.Split(args[1], ","), nil
	default:
		return nil, nil, fmt.Errorf("at most an outcome and a code may follow: %v", args)
	}
}

func matches(expected []string, got string) bool {
	return slices.Contains(expected, "any") || slices.Contains(expected, got)
}

// cancel requests the cancellation of a task: cancel [-at eN] NAME.
func (s *session) cancel(args []string) error {
	var at string
	rest, err := parse("cancel", args, func(f *flag.FlagSet) { f.StringVar(&at, "at", "", "") })
	if err != nil {
		return err
	}
	rec, client, err := s.recordNamed(rest, at)
	if err != nil {
		return err
	}
	key, _, err := s.secret(rec.task.Team())
	if err != nil {
		return err
	}
	a := client.Cancel(s.ctx, key, rec.ticket)
	rec.cancelled = true
	if a.Outcome() != anvilerror.Done {
		return fmt.Errorf("cancel: got outcome %q code %q: %.200s", a.Outcome(), a.Code(), a.Body())
	}
	return nil
}

// expect compares the state of a task with the expected ones: expect [-at eN] NAME state[,state].
func (s *session) expect(args []string) error {
	var at string
	rest, err := parse("expect", args, func(f *flag.FlagSet) { f.StringVar(&at, "at", "", "") })
	if err != nil {
		return err
	}
	if len(rest) != 2 {
		return fmt.Errorf("expect needs a name and a state")
	}
	state, err := s.state(rest[0], at)
	if err != nil {
		return err
	}
	if !matches(strings.Split(rest[1], ","), state) {
		return fmt.Errorf("task %s: got state %q, want %s", rest[0], state, rest[1])
	}
	return nil
}
