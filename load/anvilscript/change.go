package anvilscript

import (
	"flag"
	"fmt"
	"strings"
	"syscall"
	"time"

	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcaller"
)

const (
	// changeRetryInterval is the time between two attempts of a change or of a request with -until.
	changeRetryInterval = 200 * time.Millisecond
	// changeTimeout is how long a change with -until is retried.
	changeTimeout = 20 * time.Second
	// spareTeam is the team whose contract racing operators change. It has the same name as in anviltrial.
	spareTeam = "spare"
)

// change holds the flags that the commands for changes share.
type change struct {
	at    string
	until bool
}

func (c *change) declare(f *flag.FlagSet) {
	f.StringVar(&c.at, "at", "", "entry instance; any when empty")
	f.BoolVar(&c.until, "until", false, "repeat the change until it is accepted")
}

// sendChange sends a change and compares its outcome with the expected one. With -until it instead repeats the change
// until it is accepted. It passes the result of each attempt to observe.
func (s *session) sendChange(c change, expected []string, send func(*anvilcaller.Operator) anvilcaller.Change, observe func(anvilcaller.Change)) error {
	operator, err := s.operator(c.at)
	if err != nil {
		return err
	}
	outcomes, codes, err := parseExpected(expected, string(anvilerror.Done))
	if err != nil {
		return err
	}
	deadline := time.Now().Add(changeTimeout)
	for {
		got := send(operator)
		observe(got)
		if !c.until && (!matches(outcomes, string(got.Outcome())) || !matches(codes, string(got.Code()))) {
			return fmt.Errorf("got %s, want %v %v", got, outcomes, codes)
		}
		if !c.until || got.Accepted() {
			return nil
		}
		if time.Now().After(deadline) || !s.sleep(changeRetryInterval) {
			return fmt.Errorf("not accepted within %s: %s", changeTimeout, got)
		}
	}
}

// contract sets the limit of a team: contract [-at eN] [-until] TEAM SIZE [outcome [code]].
func (s *session) contract(args []string) error {
	var c change
	rest, err := parse("contract", args, c.declare)
	if err != nil {
		return err
	}
	if len(rest) < 2 {
		return fmt.Errorf("contract needs a team and a limit")
	}
	limit, err := anvilsize.Parse(rest[1])
	if err != nil {
		return err
	}
	contract := anvilconfig.NewContract(rest[0], anvilconfig.WithLimit(limit))
	return s.sendChange(c, rest[2:], func(o *anvilcaller.Operator) anvilcaller.Change {
		return o.ChangeContract(s.ctx, anvilcaller.Put, contract, 0)
	}, func(got anvilcaller.Change) {
		if got.Accepted() || got.OutcomeUnknown() {
			s.trial.Recorder().LimitChange(anvilaudit.NewLimitChange(rest[0], limit, got.Sent(), got.AcceptedAt()))
		}
	})
}

// key adds or withdraws a key of a team: key [-at eN] [-until] give|withdraw TEAM[:N] [outcome [code]].
func (s *session) key(args []string) error {
	var c change
	rest, err := parse("key", args, c.declare)
	if err != nil {
		return err
	}
	if len(rest) < 2 || (rest[0] != "give" && rest[0] != "withdraw") {
		return fmt.Errorf("key needs give or withdraw and the name of a key")
	}
	if s.trial == nil {
		return errNoCell
	}
	secret, team, err := s.secret(rest[1])
	if err != nil {
		return err
	}
	op := anvilcaller.Delete
	if rest[0] == "give" {
		op = anvilcaller.Put
		if from := s.withdrawn[secret]; from > 0 {
			s.trial.Recorder().Withdrawal(secret, from, s.clock().Unix())
			delete(s.withdrawn, secret)
		}
	}
	return s.sendChange(c, rest[2:], func(o *anvilcaller.Operator) anvilcaller.Change {
		return o.ChangeKey(s.ctx, op, secret, team, anvilconfig.TeamRole)
	}, func(got anvilcaller.Change) {
		if op == anvilcaller.Delete && got.Accepted() && s.withdrawn[secret] == 0 {
			s.withdrawn[secret] = got.AcceptedAt()
		}
	})
}

// leave marks a worker as leaving, removes the mark, or makes the platform list the worker as leaving:
//
//	leave [-at eN] [-until] mark|undo WORKER [outcome [code]]
//	leave list WORKER
func (s *session) leave(args []string) error {
	var c change
	rest, err := parse("leave", args, c.declare)
	if err != nil {
		return err
	}
	if len(rest) < 2 {
		return fmt.Errorf("leave needs mark, undo or list and a worker")
	}
	worker, err := s.target(rest[1])
	if err != nil {
		return err
	}
	op := anvilcaller.Put
	switch rest[0] {
	case "list":
		s.leaving[worker] = s.clock().Unix()
		return s.trial.Cell().Signal(worker, syscall.SIGTERM)
	case "undo":
		op = anvilcaller.Delete
		if from := s.leaving[worker]; from > 0 {
			s.trial.Recorder().Departure(worker, from, s.clock().Unix())
			delete(s.leaving, worker)
		}
	case "mark":
	default:
		return fmt.Errorf("leave knows mark, undo and list, not %s", rest[0])
	}
	return s.sendChange(c, rest[2:], func(o *anvilcaller.Operator) anvilcaller.Change {
		return o.ChangeLeaveMark(s.ctx, op, worker)
	}, func(got anvilcaller.Change) {
		if op == anvilcaller.Put && got.Accepted() && s.leaving[worker] == 0 {
			s.leaving[worker] = got.AcceptedAt()
		}
	})
}

// race sends two changes of the same contract at the same time and with the same base version, each through an entry
// instance of its own:
//
//	race eN eN [one|most]
//
// With one, which is the default, exactly one change must be accepted, and the other must be refused with the
// version that it conflicted with. With most, at most one may be accepted, and a change may remain unanswered.
func (s *session) race(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("race needs two entry instances")
	}
	operators := make([]*anvilcaller.Operator, 2)
	for i := range operators {
		o, err := s.operator(args[i])
		if err != nil {
			return err
		}
		operators[i] = o
	}
	base, err := s.version()
	if err != nil {
		return err
	}
	at := s.clock().Unix()
	results := make(chan anvilcaller.Change, len(operators))
	for i, o := range operators {
		c := anvilconfig.NewContract(spareTeam, anvilconfig.WithLimit(anvilsize.New(1000, 1024, 0)), anvilconfig.WithWeight(int64(i+1)))
		go func() { results <- o.ChangeContract(s.ctx, anvilcaller.Put, c, base) }()
	}
	var changes []anvilcaller.Change
	accepted, refused := 0, 0
	for range operators {
		c := <-results
		changes = append(changes, c)
		switch {
		case c.Accepted():
			accepted++
		case c.Outcome() == anvilerror.NotRun && c.Code() == anvilerror.Conflict && c.Version() > base:
			refused++
		}
	}
	s.trial.Recorder().Race(anvilaudit.NewRace(at, base, accepted))
	atMostOne := len(args) == 3 && args[2] == "most"
	if accepted > 1 || (!atMostOne && (accepted != 1 || refused != 1)) {
		return fmt.Errorf("race from version %d: %d accepted and %d refused with the conflicting version: %s", base, accepted, refused, describe(changes))
	}
	return nil
}

func describe(changes []anvilcaller.Change) string {
	var lines []string
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "; ")
}
