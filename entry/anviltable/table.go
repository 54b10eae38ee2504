// Package anviltable is the client of the platform's table service and of its list of instances.
//
// Each request names the caller's region, by which the platform tells on which side of a cut link
// the caller is.
package anviltable

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/entry/anvilhttp"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilwire"
)

const (
	defaultTimeout = 2 * time.Second
	// The table takes several hundred writes a second; more requests than this in flight only wait.
	defaultSlots = 64
	// A full read returns all task rows of a shard.
	answerLimit = 256 << 20
	// The table answers again within seconds after most faults.
	tableRetry anvilclock.Millis = 1000
)

// Inbox takes the results.
type Inbox interface {
	Post(m anvilcontrol.Message)
}

// Table implements anvilcontrol.Table.
type Table struct {
	inbox   Inbox
	base    string
	client  *anvilhttp.Client
	timeout time.Duration
	slots   chan struct{}
}

// Option sets an optional part of a Table.
type Option func(*Table)

// WithTimeout sets how long a request may take, with the wait for a slot.
func WithTimeout(d time.Duration) Option { return func(t *Table) { t.timeout = d } }

// WithSlots bounds the requests in flight.
func WithSlots(n int) Option { return func(t *Table) { t.slots = make(chan struct{}, n) } }

// New returns a client of the table at addr for an instance of a region.
func New(inbox Inbox, addr, region string, opts ...Option) *Table {
	t := &Table{
		inbox: inbox, base: "http://" + addr, timeout: defaultTimeout, slots: make(chan struct{}, defaultSlots),
		client: anvilhttp.New(anvilhttp.WithAnswer(answerLimit), anvilhttp.WithHeader("Region", region)),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Close closes idle connections.
func (t *Table) Close() { t.client.Close() }

// Commit makes one transaction and posts a Committed message.
func (t *Table) Commit(ref anvilcontrol.Ref, c anvilcontrol.Commit) {
	go func() { t.inbox.Post(t.commit(ref, c)) }()
}

func (t *Table) commit(ref anvilcontrol.Ref, c anvilcontrol.Commit) anvilcontrol.Committed {
	in, err := commit(c)
	if err != nil {
		return anvilcontrol.NewCommitFailure(ref, anvilerror.Refuse(anvilerror.Internal, "the row can't be encoded", anvilerror.WithCause(err)))
	}
	out, failure := t.transact(in)
	if failure != nil {
		return anvilcontrol.NewCommitFailure(ref, failure)
	}
	return anvilcontrol.NewCommitted(ref, out.GetOk(), out.GetVersion(), conflict(out))
}

func (t *Table) transact(in *anvilwire.Commit) (*anvilwire.Committed, *anvilerror.Error) {
	var out anvilwire.Committed
	if err := t.limited(func(ctx context.Context) error {
		return t.client.Post(ctx, t.base+"/v1/table/commit", in, &out)
	}); err != nil {
		return nil, classifyWrite(err)
	}
	return &out, nil
}

// Read reads the rows under a prefix that changed after a version and posts a RowsRead message.
func (t *Table) Read(ref anvilcontrol.Ref, prefix string, after int64) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}}
	go func() {
		var out anvilwire.Rows
		if err := t.limited(func(ctx context.Context) error {
			return t.client.Get(ctx, t.base+"/v1/table/rows?"+query.Encode(), &out)
		}); err != nil {
			t.inbox.Post(anvilcontrol.NewReadFailure(ref, classifyRead(err)))
			return
		}
		rows, err := anvilcodec.ParseRows(out.GetRows())
		if err != nil {
			t.inbox.Post(anvilcontrol.NewReadFailure(ref, anvilerror.Refuse(anvilerror.Internal,
				"a row of the table can't be read", anvilerror.WithCause(err))))
			return
		}
		t.inbox.Post(anvilcontrol.NewRowsRead(ref, rows, out.GetVersion()))
	}()
}

// Instances reads the platform's list and posts an InstancesRead message.
func (t *Table) Instances(ref anvilcontrol.Ref) {
	go func() {
		var out anvilwire.Instances
		if err := t.limited(func(ctx context.Context) error {
			return t.client.Get(ctx, t.base+"/v1/instances", &out)
		}); err != nil {
			t.inbox.Post(anvilcontrol.NewInstancesFailure(ref, classifyRead(err)))
			return
		}
		list := make([]anvilcontrol.Registration, 0, len(out.GetList()))
		for _, i := range out.GetList() {
			list = append(list, anvilcontrol.NewRegistration(i.GetId(), i.GetKind(), i.GetAddr(), i.GetDomain(), i.GetRegion(),
				i.GetPool(), i.GetState() == anvilcodec.Leaving, anvilcodec.ParseSize(i.GetSize())))
		}
		t.inbox.Post(anvilcontrol.NewInstancesRead(ref, list))
	}()
}

var errSlots = errors.New("too many requests to the table are in flight")

func (t *Table) limited(request func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return errSlots
	}
	defer func() { <-t.slots }()
	return request(ctx)
}

// classifyWrite turns a failed commit into an outcome. The table rejects with 4xx and 503 before it
// writes; any other failure after the request was written may hide a commit that took effect.
func classifyWrite(err error) *anvilerror.Error {
	var e *anvilhttp.Error
	if !errors.As(err, &e) || !e.Sent() {
		return classifyRead(err)
	}
	switch status := e.Status(); {
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return classifyRead(err)
	case status >= 400 && status < 500:
		return anvilerror.Refuse(anvilerror.Internal, "the table rejected the commit", anvilerror.WithCause(err))
	default:
		return anvilerror.UnknownOutcome(anvilerror.Lost, "the table did not answer", anvilerror.WithCause(err))
	}
}

func classifyRead(err error) *anvilerror.Error {
	return anvilerror.Refuse(anvilerror.NoTable, "the table can't be reached", anvilerror.WithRetry(tableRetry),
		anvilerror.WithCause(err))
}
