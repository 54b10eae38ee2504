package anviltrial

import (
	"fmt"
	"math/rand/v2"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// plannedRequest is a request that a sender sends, perhaps followed by its cancellation.
type plannedRequest struct {
	task   *anviltask.Task
	key    string
	cancel bool
}

// Percentages of kinds of requests. Batch tasks and gang jobs are few because the table service accepts at most
// several hundred writes a second; all other requests are calls.
const (
	batchPercent  = 5
	gangPercent   = 2
	openPercent   = 5  // of the calls, sent without a key
	oncePercent   = 25 // of the calls and batch tasks, not idempotent
	urgentPercent = 3  // of the calls
	cancelPercent = 5  // of the batch tasks, cancelled after their acceptance
)

// maxFillerBytes limits the filler in a body. Its length varies so that answers of different lengths follow
// each other on a connection.
const maxFillerBytes = 2000

// drawRequest returns a random request. Except for its id, it depends only on the state of rng.
func drawRequest(rng *rand.Rand, teams []Team) plannedRequest {
	team := teams[rng.IntN(len(teams))]
	p := plannedRequest{key: team.keys[rng.IntN(len(team.keys))]}
	opts := []anviltask.Option{anviltask.WithTeam(team.Name(), "")}
	pool := "layout"
	if rng.IntN(3) == 0 {
		pool = "cutting"
	}
	once := anviltask.WithNonIdempotent(rng.IntN(100) < oncePercent)
	switch n := rng.IntN(100); {
	case n < gangPercent:
		opts = append(opts, anviltask.WithCount(2+rng.IntN(2)), anviltask.WithSize(anvilsize.New(1000, 1024, 0)),
			anviltask.WithRunTime(1000), anviltask.WithBody(body(rng, 100+rng.IntN(400))))
		p.task = anviltask.New(anviltask.NewID(), anviltask.Gang, pool, opts...)
	case n < gangPercent+batchPercent:
		opts = append(opts, anviltask.WithSize(anvilsize.New(1000, 1024, 0)), anviltask.WithRunTime(2000),
			anviltask.WithBody(body(rng, 100+rng.IntN(1400))), once)
		p.cancel = rng.IntN(100) < cancelPercent
		p.task = anviltask.New(anviltask.NewID(), anviltask.Batch, pool, opts...)
	default:
		if rng.IntN(100) < openPercent {
			p.key, opts = "", nil
		}
		opts = append(opts, anviltask.WithSize(anvilsize.New(500, 256, 0)), anviltask.WithBody(body(rng, rng.IntN(40))),
			anviltask.WithUrgent(rng.IntN(100) < urgentPercent), once)
		p.task = anviltask.New(anviltask.NewID(), anviltask.Call, pool, opts...)
	}
	return p
}

// body returns a payload that keeps the backend server busy for ms milliseconds.
func body(rng *rand.Rand, ms int) []byte {
	b := fmt.Appendf(nil, "work=%d\n", ms)
	for range rng.IntN(maxFillerBytes) {
		b = append(b, byte('a'+rng.IntN(26)))
	}
	return b
}
