// Package anviltable is the client of the platform's table service and of its registry of instances.
//
// Each request has a header with the region of the instance. The platform needs it to know on which side of a network
// partition between regions the instance is.
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
	// The table handles several hundred writes a second, so more requests in flight would only queue there.
	defaultSlots = 64
	// A full read returns all task rows of a shard.
	maxResponse = 256 << 20
	// After most faults the table is available again within seconds.
	tableRetryDelay anvilclock.Millis = 1000
)

// Inbox receives the results. Post may block; it is called on the request's goroutine, never on the caller's.
type Inbox interface {
	Post(m anvilcontrol.Message)
}

// Table implements anvilcontrol.Table. It is safe for concurrent use.
type Table struct {
	inbox   Inbox
	base    string
	client  *anvilhttp.Client
	timeout time.Duration
	slots   chan struct{}
}

// Option configures a Table.
type Option func(*Table)

// WithTimeout sets the time limit of a request, including its wait for a slot.
func WithTimeout(d time.Duration) Option { return func(t *Table) { t.timeout = d } }

// WithSlots limits the number of requests in flight; others wait.
func WithSlots(n int) Option { return func(t *Table) { t.slots = make(chan struct{}, n) } }

// New returns a client of the table at addr that posts results to inbox. region is that of this instance.
func New(inbox Inbox, addr, region string, opts ...Option) *Table {
	t := &Table{
		inbox: inbox, base: "http://" + addr, timeout: defaultTimeout, slots: make(chan struct{}, defaultSlots),
		client: anvilhttp.New(anvilhttp.WithMaxResponse(maxResponse), anvilhttp.WithHeader("Region", region)),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Close closes idle connections. It does not wait for requests in flight.
func (t *Table) Close() { t.client.Close() }

// Commit runs one transaction and posts a Committed message. It does not block.
func (t *Table) Commit(ref anvilcontrol.Ref, c anvilcontrol.Commit) {
	go func() { t.inbox.Post(t.commit(ref, c)) }()
}

func (t *Table) commit(ref anvilcontrol.Ref, c anvilcontrol.Commit) anvilcontrol.Committed {
	in, err := commitMessage(c)
	if err != nil {
		return anvilcontrol.NewCommitFailure(ref, anvilerror.Refuse(anvilerror.Internal, "the row can't be encoded", anvilerror.WithCause(err)))
	}
	out, failure := t.transact(in)
	if failure != nil {
		return anvilcontrol.NewCommitFailure(ref, failure)
	}
	return anvilcontrol.NewCommitted(ref, out.GetOk(), out.GetVersion(), parseConflict(out))
}

func (t *Table) transact(in *anvilwire.Commit) (*anvilwire.Committed, *anvilerror.Error) {
	var out anvilwire.Committed
	if err := t.withSlot(func(ctx context.Context) error {
		return t.client.Post(ctx, t.base+"/v1/table/commit", in, &out)
	}); err != nil {
		return nil, classifyWrite(err)
	}
	return &out, nil
}

// Read reads the rows whose key begins with prefix and whose version is greater than after, and posts a RowsRead message.
// It does not block.
func (t *Table) Read(ref anvilcontrol.Ref, prefix string, after int64) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}}
	go func() {
		var out anvilwire.Rows
		if err := t.withSlot(func(ctx context.Context) error {
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

// Instances reads the platform's registry of instances and posts an InstancesRead message. It does not block.
func (t *Table) Instances(ref anvilcontrol.Ref) {
	go func() {
		var list []anvilcontrol.Registration
		var unreadable int
		if err := t.withSlot(func(ctx context.Context) error {
			return t.client.GetWith(ctx, t.base+"/v1/instances", func(data []byte) error {
				var err error
				list, unreadable, err = parseInstances(data)
				return err
			})
		}); err != nil {
			t.inbox.Post(anvilcontrol.NewInstancesFailure(ref, classifyRead(err)))
			return
		}
		t.inbox.Post(anvilcontrol.NewInstancesRead(ref, list).WithUnreadable(unreadable))
	}()
}

var errNoSlot = errors.New("too many requests to the table are in flight")

func (t *Table) withSlot(request func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return errNoSlot
	}
	defer func() { <-t.slots }()
	return request(ctx)
}

// classifyWrite returns the error, with its outcome, of a failed commit. The table answers 4xx and 503 only when it has
// written nothing; after any other failure of a request that was sent, the commit may have taken effect.
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
	return anvilerror.Refuse(anvilerror.NoTable, "the table can't be reached", anvilerror.WithRetry(tableRetryDelay),
		anvilerror.WithCause(err))
}
