package anvilscript

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/load/anvilcaller"
	"anvilhold.org/load/anvilcell"
	"anvilhold.org/load/anviltrial"
)

// errNoCell is the error of a command that needs a cell if the command cell has not started one.
var errNoCell = errors.New("no cell is running")

// session is the state of a script.
type session struct {
	ctx           context.Context
	bin           string
	dir           string
	trial         *anviltrial.Trial
	clients       map[string]*anvilcaller.Client // by address; the client for any ready instance has the empty address
	entries       map[string]int                 // index in the plan by name of the entry instance
	records       map[string]*record             // by the name that the script has given
	sent          []*record
	inFlight      map[string][]chan result
	activeTraffic *anviltrial.Traffic
	withdrawn     map[string]anvilclock.Millis // when the key with a secret was withdrawn
	leaving       map[string]anvilclock.Millis // when a worker began to leave
	variables     map[string]string            // environment variables that commands set for the script
	output        string
	stopWatch     context.CancelFunc
	watchers      sync.WaitGroup
	audited       bool // the audit has begun
	passed        bool // the audit has found no violation
}

func newSession(ctx context.Context, bin, dir string) *session {
	return &session{
		ctx: ctx, bin: bin, dir: dir, clients: make(map[string]*anvilcaller.Client), entries: make(map[string]int),
		records: make(map[string]*record), inFlight: make(map[string][]chan result),
		withdrawn: make(map[string]anvilclock.Millis), leaving: make(map[string]anvilclock.Millis), variables: make(map[string]string),
	}
}

// listFlag is a flag that may be given several times.
type listFlag []string

func (l *listFlag) String() string { return strings.Join(*l, " ") }

func (l *listFlag) Set(text string) error {
	*l = append(*l, text)
	return nil
}

// cell starts the cell:
//
//	cell [-worker POOL:DOMAIN:REGION:SIZE]... [-entry DOMAIN:REGION]... [-team NAME:SIZE]... [-lease MS] [-margin MS] [-notice MS]
//
// Workers are named w1, w2 and so on, entry instances e1, e2 and so on.
func (s *session) cell(args []string) error {
	var workers, entries, teams listFlag
	var lease, margin, notice int64
	rest, err := parse("cell", args, func(f *flag.FlagSet) {
		f.Var(&workers, "worker", "")
		f.Var(&entries, "entry", "")
		f.Var(&teams, "team", "")
		f.Int64Var(&lease, "lease", 4000, "")
		f.Int64Var(&margin, "margin", 1000, "")
		f.Int64Var(&notice, "notice", 1500, "")
	})
	if err != nil || len(rest) > 0 || s.trial != nil {
		return errors.Join(err, fmt.Errorf("cell takes only flags and must be called only once"))
	}
	opts := []anvilcell.PlanOption{
		anvilcell.WithLease(anvilclock.Millis(lease), anvilclock.Millis(margin)), anvilcell.WithNotice(anvilclock.Millis(notice)),
	}
	if len(workers) > 0 {
		list, err := planWorkers(workers)
		if err != nil {
			return err
		}
		opts = append(opts, anvilcell.WithWorkers(list...))
	}
	if len(entries) > 0 {
		var list []anvilcell.Entry
		for _, e := range entries {
			domain, region, _ := strings.Cut(e, ":")
			list = append(list, anvilcell.NewEntry(domain, region))
		}
		opts = append(opts, anvilcell.WithEntries(list...))
	}
	list, err := planTeams(teams)
	if err != nil {
		return err
	}
	return s.open(anvilcell.NewPlan(opts...), list)
}

func planWorkers(texts []string) ([]anvilcell.Worker, error) {
	var list []anvilcell.Worker
	for i, text := range texts {
		fields := strings.Split(text, ":")
		if len(fields) != 4 {
			return nil, fmt.Errorf("worker %q is not POOL:DOMAIN:REGION:SIZE", text)
		}
		size, err := anvilsize.Parse(fields[3])
		if err != nil {
			return nil, err
		}
		list = append(list, anvilcell.NewWorker("w"+strconv.Itoa(i+1), fields[1], fields[2], fields[0], size))
	}
	return list, nil
}

// planTeams returns the teams of the demo. Each text NAME:SIZE replaces the limit of one of them.
func planTeams(texts []string) ([]anviltrial.Team, error) {
	teams := anviltrial.DemoTeams()
	for _, text := range texts {
		name, limit, _ := strings.Cut(text, ":")
		size, err := anvilsize.Parse(limit)
		if err != nil {
			return nil, err
		}
		found := false
		for i, t := range teams {
			if t.Name() == name {
				teams[i] = anviltrial.NewTeam(anvilconfig.NewContract(name, anvilconfig.WithLimit(size)), t.Keys()...)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("no team %s", name)
		}
	}
	return teams, nil
}

func (s *session) open(plan anvilcell.Plan, teams []anviltrial.Team) error {
	dir, err := os.MkdirTemp("", "anvilscript-")
	if err != nil {
		return err
	}
	s.dir = dir
	trial, err := anviltrial.Open(s.ctx, s.bin, dir, plan, teams)
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	s.trial = trial
	for i := range plan.Entries() {
		s.entries["e"+strconv.Itoa(i+1)] = i
	}
	s.clients[""] = anvilcaller.New(trial.Client().Balancer(), anvilcaller.WithSingleAttempt())
	watch, cancel := context.WithCancel(s.ctx)
	s.stopWatch = cancel
	s.watchers.Go(func() { trial.WatchVersions(watch) })
	if err := s.await([]string{"owned"}); err != nil {
		return err
	}
	return s.poll(warmupTimeout, s.checkServing)
}

// warmupTimeout is how long a new cell may take until every entry instance serves calls for every pool.
const warmupTimeout = 15 * time.Second

// checkServing sends a non-idempotent call for each pool to each entry instance. A ready instance does not route by id
// until it has known the shards for 2 s. These calls are not recorded.
func (s *session) checkServing() error {
	cell, team := s.trial.Cell(), s.trial.Teams()[0]
	pools := make(map[string]bool)
	for _, w := range cell.Plan().Workers() {
		pools[w.Pool()] = true
	}
	for _, name := range cell.Names(anvilcell.EntryRole) {
		client, err := s.client(name)
		if err != nil {
			return err
		}
		for pool := range pools {
			task := anviltask.New(anviltask.NewID(), anviltask.Call, pool, anviltask.WithTeam(team.Name(), ""),
				anviltask.WithNonIdempotent(true), anviltask.WithSize(anvilsize.New(100, 64, 0)), anviltask.WithBody([]byte("work=1\n")))
			if r, last := client.CallAnswer(s.ctx, team.Keys()[0], task); r.Outcome() != anvilerror.Done {
				return fmt.Errorf("%s does not answer calls for pool %s: %s %s: %.200s", name, pool, last.Outcome(), last.Code(), last.Body())
			}
		}
	}
	return nil
}

// client returns a client that sends to one entry instance, or to any ready one if the name is empty.
func (s *session) client(at string) (*anvilcaller.Client, error) {
	if s.trial == nil {
		return nil, errNoCell
	}
	addr := ""
	if at != "" {
		name, err := s.target(at)
		if err != nil {
			return nil, err
		}
		if addr = s.trial.Cell().Addr(name); addr == "" {
			return nil, fmt.Errorf("no entry instance %s", name)
		}
	}
	if s.clients[addr] == nil {
		s.clients[addr] = anvilcaller.New(anvilcaller.NewPinned(addr), anvilcaller.WithSingleAttempt())
	}
	return s.clients[addr], nil
}

func (s *session) operator(at string) (*anvilcaller.Operator, error) {
	c, err := s.client(at)
	if err != nil {
		return nil, err
	}
	return anvilcaller.NewOperator(c, anviltrial.OperatorKey), nil
}

// secret returns the secret of a key and its team. TEAM names the first key of a team, TEAM:N the nth one, and open
// means no key.
func (s *session) secret(text string) (key, team string, err error) {
	if text == "open" {
		return "", "", nil
	}
	name, number, found := strings.Cut(text, ":")
	n := 1
	if found {
		if n, err = strconv.Atoi(number); err != nil {
			return "", "", err
		}
	}
	for _, t := range s.trial.Teams() {
		if t.Name() == name && n >= 1 && n <= len(t.Keys()) {
			return t.Keys()[n-1], name, nil
		}
	}
	return "", "", fmt.Errorf("unknown key %s", text)
}

// close ends all processes of the cell. It removes their files if the audit has found no violation, and otherwise
// adds their directory to the output of the script.
func (s *session) close() error {
	if s.trial == nil {
		return nil
	}
	s.stopWatch()
	s.watchers.Wait()
	for addr, c := range s.clients {
		if addr != "" {
			c.Close()
		}
	}
	err := s.trial.Close()
	if s.passed && err == nil {
		return os.RemoveAll(s.dir)
	}
	s.output += "logs and traces are in " + s.dir + "\n"
	return err
}
