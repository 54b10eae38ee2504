package anvilslope

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"anvilhold.org/entry/anvilbackend"
	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/entry/anvilpeer"
	"anvilhold.org/entry/anviltable"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilwire"
)

const (
	// linkRequests is the number of requests over which a value is averaged, of which up to concurrentRequests are in
	// flight.
	linkRequests       = 200
	concurrentRequests = 8
	linkTimeout        = 10 * time.Second
)

// countingListener counts the bytes of its connections in both directions, without the headers of TCP and IP.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func listen() (*countingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: l}, nil
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &c.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// resultInbox receives the results of the client under test. Its buffer is large enough for all requests of a measurement.
type resultInbox chan anvilcontrol.Message

func newResultInbox() resultInbox { return make(resultInbox, linkRequests) }

// Post delivers a result. The client under test uses s as its inbox.
func (s resultInbox) Post(m anvilcontrol.Message) { s <- m }

// link measures one kind of request over a connection.
type link struct {
	role  string
	name  string
	per   string
	sizes []int
	// open starts a server whose messages have size n. It returns a function that sends one request, whose result is
	// delivered to in, and a function that stops the server.
	open func(l net.Listener, in resultInbox, n int) (send func(ref anvilcontrol.Ref), stop func() error, err error)
}

func (lk link) run(ctx context.Context, out *Report) error {
	bytes := out.AddSeries(lk.role, lk.name+"-link", lk.per, "bytes")
	used := out.AddSeries(lk.role, lk.name+"-both-ends", lk.per, "us")
	for _, n := range lk.sizes {
		b, us, err := lk.measure(ctx, n)
		if err != nil {
			return fmt.Errorf("%s %s=%d: %w", lk.name, lk.per, n, err)
		}
		bytes.Add(float64(n), b)
		used.Add(float64(n), us)
	}
	return nil
}

func (lk link) measure(ctx context.Context, n int) (bytes, us float64, err error) {
	l, err := listen()
	if err != nil {
		return 0, 0, err
	}
	in := newResultInbox()
	send, stop, err := lk.open(l, in, n)
	if err != nil {
		return 0, 0, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	// The first requests open the connections.
	if err := in.sendAll(ctx, 2*concurrentRequests, send); err != nil {
		return 0, 0, err
	}
	sent := l.bytes.Load()
	before, err := processTime()
	if err != nil {
		return 0, 0, err
	}
	if err := in.sendAll(ctx, linkRequests, send); err != nil {
		return 0, 0, err
	}
	after, err := processTime()
	if err != nil {
		return 0, 0, err
	}
	return float64(l.bytes.Load()-sent) / linkRequests, micros(after-before) / linkRequests, nil
}

// sendAll sends n requests, with up to concurrentRequests in flight, and waits for their results.
func (s resultInbox) sendAll(ctx context.Context, n int, send func(anvilcontrol.Ref)) error {
	for sent, done := 0, 0; done < n; done++ {
		for ; sent < n && sent-done < concurrentRequests; sent++ {
			send(anvilcontrol.Ref(sent + 1))
		}
		select {
		case <-s:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// serve answers every HTTP request with m. The returned function stops the server.
func serve(l net.Listener, m proto.Message) (stop func() error, err error) {
	body, err := protojson.Marshal(m)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{ReadHeaderTimeout: linkTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_, _ = w.Write(body)
	})}
	go func() { _ = srv.Serve(l) }()
	return srv.Close, nil
}

// contracts returns n contract rows of the configuration.
func contracts(n int) []anvilrow.Row {
	rows := make([]anvilrow.Row, n)
	for i := range rows {
		c := anvilconfig.NewContract(teamName(i), anvilconfig.WithLimit(teamLimit), anvilconfig.WithWeight(1))
		rows[i] = storedRow(anvilrow.ContractPrefix+teamName(i), anvilrow.NewContract(c))
	}
	return rows
}

func links(seed uint64) []link {
	return []link{
		{"worker", "fence", "task", []int{0, 18, 72, 288}, func(l net.Listener, in resultInbox, n int) (func(anvilcontrol.Ref), func() error, error) {
			stop, err := serve(l, fenceReply(seed, n))
			b := anvilbackend.New(in, "entry-1-01234567")
			addr := l.Addr().String()
			return func(ref anvilcontrol.Ref) { b.Fence(ref, addr, anvilcontrol.Fence{}) }, closeBoth(stop, b.Close), err
		}},
		{"table", "read", "row", []int{0, 10, 100}, func(l net.Listener, in resultInbox, n int) (func(anvilcontrol.Ref), func() error, error) {
			rows := make([]*anvilwire.Row, n)
			for i := range rows {
				var err error
				if rows[i], err = anvilcodec.Row(peerRow(i, 1)); err != nil {
					return nil, nil, err
				}
			}
			stop, err := serve(l, anvilwire.Rows_builder{Rows: rows, Version: 123_456_789}.Build())
			t := anviltable.New(in, l.Addr().String(), selfRegion)
			return func(ref anvilcontrol.Ref) { t.Read(ref, anvilrow.SessionPrefix, 123_456_789) }, closeBoth(stop, t.Close), err
		}},
		{"table", "list", "listed", []int{48, 480, 1400}, func(l net.Listener, in resultInbox, n int) (func(anvilcontrol.Ref), func() error, error) {
			list := make([]*anvilwire.Instance, n)
			for i := range list {
				list[i] = anvilwire.Instance_builder{Id: fmt.Sprintf("worker-%05d", i), Kind: workerKind, Addr: sampleAddr, Domain: "d01",
					Region: selfRegion, Pool: "layout", State: anvilcodec.Live, Size: anvilcodec.Size(workerSize)}.Build()
			}
			stop, err := serve(l, anvilwire.Instances_builder{List: list}.Build())
			t := anviltable.New(in, l.Addr().String(), selfRegion)
			return t.Instances, closeBoth(stop, t.Close), err
		}},
		{"peer", "summary", "pool", []int{1, 12, 48}, func(l net.Listener, in resultInbox, n int) (func(anvilcontrol.Ref), func() error, error) {
			p, stop := startPeer(l, in, n)
			addr, s := l.Addr().String(), peerSummary(peerName(0), 123_456, n)
			return func(ref anvilcontrol.Ref) { p.Exchange(ref, addr, s) }, stop, nil
		}},
		{"peer", "submit", "body-byte", []int{0, 200, 2000}, func(l net.Listener, in resultInbox, n int) (func(anvilcontrol.Ref), func() error, error) {
			p, stop := startPeer(l, in, 0)
			addr, f := l.Addr().String(), anvilcontrol.NewForward(sampleTask(n), 1, 123_456)
			return func(ref anvilcontrol.Ref) { p.Submit(ref, addr, f) }, stop, nil
		}},
		{"peer", "push", "row", []int{1, 5, 20}, func(l net.Listener, in resultInbox, n int) (func(anvilcontrol.Ref), func() error, error) {
			p, stop := startPeer(l, in, 0)
			addr, rows := l.Addr().String(), contracts(n)
			return func(ref anvilcontrol.Ref) { p.Push(ref, addr, rows, 123_456) }, stop, nil
		}},
	}
}

// closeBoth returns a function that closes a client and then stops its server. The stop function may be nil.
func closeBoth(stop func() error, client func()) func() error {
	return func() error {
		client()
		if stop == nil {
			return nil
		}
		return stop()
	}
}

// startPeer starts a server of the peer protocol whose summaries have n pools, and returns a client for it and a function
// that stops both.
func startPeer(l net.Listener, in resultInbox, n int) (*anvilpeer.Peers, func() error) {
	stub := peerStub{summary: peerSummary(peerName(1), 123_456, n)}
	srv := anvilpeer.NewServer(stub, stub, nil)
	go func() { _ = srv.Serve(l) }()
	p := anvilpeer.New(in)
	return p, func() error {
		p.Close()
		srv.Stop(time.Second)
		return nil
	}
}

// peerStub serves the peer protocol and answers every request at once.
type peerStub struct {
	summary anvilcontrol.Summary
}

// Submit implements anvilpeer.TaskHandler.
func (peerStub) Submit(_ anvilcontrol.Forward, reply chan<- anvilcontrol.Result) bool {
	reply <- anvilcontrol.NewAnswer(make([]byte, answerSize))
	return true
}

// Inspect implements anvilpeer.TaskHandler.
func (peerStub) Inspect(q anvilcontrol.Query, reply chan<- anvilcontrol.Status) bool {
	reply <- anvilcontrol.NewStatus(q.ID(), q.Team(), "running")
	return true
}

// Exchange implements anvilpeer.StateHandler.
func (s peerStub) Exchange(_ anvilcontrol.Summary, reply chan<- anvilcontrol.Summary) bool {
	reply <- s.summary
	return true
}

// Push implements anvilpeer.StateHandler.
func (peerStub) Push(_ []anvilrow.Row, version int64, reply chan<- int64) bool {
	reply <- version
	return true
}

// Links adds to out the bytes and the processor time per request over loopback connections. The time is the sum of both
// ends.
func Links(ctx context.Context, seed uint64, out *Report) error {
	for _, lk := range links(seed) {
		if err := lk.run(ctx, out); err != nil {
			return err
		}
	}
	return nil
}
