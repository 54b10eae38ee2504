package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc/credentials"

	"anvilhold.org/entry/anvilbackend"
	"anvilhold.org/entry/anvilcert"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/entry/anvilfront"
	"anvilhold.org/entry/anvillistener"
	"anvilhold.org/entry/anvilmetric"
	"anvilhold.org/entry/anvilpeer"
	"anvilhold.org/entry/anvilsetting"
	"anvilhold.org/entry/anviltable"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilinvariant"
)

// node holds the parts of a running entry instance.
type node struct {
	settings    *anvilsetting.Settings
	log         logr.Logger
	inbox       *anvilcontrol.Inbox
	loop        *anvilcontrol.Loop
	table       *anviltable.Table
	backends    *anvilbackend.Backends
	peers       *anvilpeer.Peers
	front       *anvilfront.Front
	frontServer *anvillistener.Server
	peerServer  *anvilpeer.Server
	self        anvilcontrol.Identity
	certs       *anvilcert.Files
	errs        chan error
	stop        context.CancelFunc
	running     sync.WaitGroup
}

func newNode(set *anvilsetting.Settings, log logr.Logger) (*node, error) {
	suffix := make([]byte, 4)
	// rand.Read returns no error; it ends the program if the system provides no randomness.
	_, _ = rand.Read(suffix)
	in := set.Instance()
	n := &node{
		settings: set, log: log, inbox: anvilcontrol.NewInbox(), errs: make(chan error, 3),
		self: anvilcontrol.NewIdentity(in.Name()+"-"+hex.EncodeToString(suffix), set.Listen().Peer(), in.Domain(), in.Region()),
	}
	n.backends = anvilbackend.New(n.inbox, n.self.Instance())
	n.table = anviltable.New(n.inbox, set.Platform().Table(), in.Region())
	var peerOpts []anvilpeer.Option
	var creds credentials.TransportCredentials
	if err := n.readCertificates(); err != nil {
		return nil, err
	}
	if n.certs != nil {
		creds = anvilpeer.Credentials(n.certs)
		peerOpts = append(peerOpts, anvilpeer.WithCredentials(creds))
	}
	n.peers = anvilpeer.New(n.inbox, peerOpts...)
	var err error
	if n.loop, err = anvilcontrol.New(n.self, n.inbox, n.backends, n.table, n.peers, n.loopOptions()...); err != nil {
		return nil, fmt.Errorf("control loop: %w", err)
	}
	n.front = anvilfront.New(func() anvilfront.State { return n.loop.View() }, dispatcher{inbox: n.inbox}, n.frontOptions()...)
	n.frontServer = n.front.NewServer(set.Listen().Front())
	n.peerServer = anvilpeer.NewServer(dispatcher{inbox: n.inbox}, dispatcher{inbox: n.inbox}, creds)
	return n, nil
}

func (n *node) readCertificates() error {
	sec := n.settings.Security()
	if sec.Plain() {
		return nil
	}
	var err error
	n.certs, err = anvilcert.Load(sec.Cert(), sec.Key(), sec.CA())
	return err
}

func (n *node) frontOptions() []anvilfront.Option {
	limits, events := n.settings.Limits(), anvilevent.New(n.log)
	reporter := anvillistener.NewReporter(anvilclock.NewSystem(), func(why anvillistener.Refusal, count int64) {
		events.Record(anvilevent.ClientsLimited, "reason", string(why), "count", count)
	})
	opts := []anvilfront.Option{
		anvilfront.WithInspector(dispatcher{inbox: n.inbox}),
		anvilfront.WithBootstrap(n.settings.Security().Bootstrap()),
		anvilfront.WithSizeLimits(limits.Body(), limits.Headers()),
		anvilfront.WithConnLimits(limits.Connections(), limits.MaxInFlight()),
		anvilfront.WithDefaultWait(limits.Wait()),
		anvilfront.WithFieldLimits(limits.HeaderLines(), limits.Fields()),
		anvilfront.WithMemory(anvillistener.NewMemory(limits.Memory(), anvilclock.NewSystem())),
		anvilfront.WithOnLimit(reporter.Record),
	}
	if n.certs != nil {
		opts = append(opts, anvilfront.WithCertificates(n.certs))
	}
	return opts
}

// exitViolated is the exit status after a violated invariant, if the settings make the process exit.
const exitViolated = 3

// loopOptions returns the options of the control loop according to the settings.
func (n *node) loopOptions() []anvilcontrol.Option {
	events := anvilevent.New(n.log)
	check := []anvilinvariant.Option{anvilinvariant.WithReport(func(name, detail string) {
		events.Record(anvilevent.InvariantViolated, "name", name, "detail", detail)
	})}
	if n.settings.Log().ExitOnViolation() {
		check = append(check, anvilinvariant.WithExit(func(int) { os.Exit(exitViolated) }))
	}
	meter := anvilmetric.New()
	meter.Publish("anvil")
	own, limits, leave := n.settings.Ownership(), n.settings.Limits(), n.settings.Leave()
	return []anvilcontrol.Option{
		anvilcontrol.WithLog(events),
		anvilcontrol.WithChecker(anvilinvariant.New(check...)),
		anvilcontrol.WithMeter(meter),
		anvilcontrol.WithShards(own.Shards()),
		anvilcontrol.WithLease(own.Lease(), own.Margin()),
		anvilcontrol.WithQueue(limits.Queue(), limits.Wait()),
		anvilcontrol.WithLeave(leave.Notice(), leave.Drain()),
	}
}

// maxPeerConns bounds the connections of other entry instances, each of which opens a few.
const maxPeerConns = 1024

// start opens the listeners and starts the control loop.
func (n *node) start() error {
	listener, err := net.Listen("tcp", n.settings.Listen().Peer())
	if err != nil {
		return err
	}
	if err := n.frontServer.Start(); err != nil {
		return errors.Join(err, listener.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.background(func() error { return n.peerServer.Serve(anvillistener.LimitConns(listener, maxPeerConns)) })
	n.background(func() error { return n.loop.Run(ctx) })
	n.background(func() error {
		n.table.Register(ctx, n.self, func() bool { return n.front.Leaving() }, n.log)
		return nil
	})
	if n.certs != nil {
		n.background(func() error {
			n.certs.Watch(ctx, n.log)
			return nil
		})
	}
	n.log.Info("serving", "instance", n.self.Instance(), "front", n.settings.Listen().Front(), "peer", n.self.Addr())
	return nil
}

func (n *node) background(f func() error) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		if err := f(); err != nil {
			n.errs <- err
		}
	}()
}

// stopTimeout is how long open connections may take to finish once the control loop has ended, and how long the loop
// may exceed the time limit of a graceful stop.
const stopTimeout = 2 * time.Second

// leave stops the instance gracefully: the health checks first report the stop to the load balancer, then the control
// loop finishes the requests that it has accepted, and only then the listeners are closed. It fails on a second signal,
// or if the requests don't end in time.
func (n *node) leave(signals <-chan os.Signal) error {
	n.log.Info("leaving", "instance", n.self.Instance())
	n.front.Leave()
	ended := make(chan struct{})
	go n.inbox.Post(anvilcontrol.NewShutdown(ended))
	notice := time.NewTimer(n.settings.Leave().Notice().Duration())
	defer notice.Stop()
	timeout := time.NewTimer((n.settings.Leave().Notice() + n.settings.Leave().Drain()).Duration() + stopTimeout)
	defer timeout.Stop()
	for noticeEnded, loopEnded := false, false; !noticeEnded || !loopEnded; {
		select {
		case <-notice.C:
			noticeEnded = true
		case <-ended:
			loopEnded, ended = true, nil
		case <-timeout.C:
			return errors.New("accepted requests did not end in time")
		case err := <-n.errs:
			return err
		case s := <-signals:
			return fmt.Errorf("second signal: %s", s)
		}
	}
	return n.close()
}

func (n *node) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := n.frontServer.Stop(ctx)
	n.peerServer.Stop(stopTimeout)
	n.stop()
	n.running.Wait()
	n.peers.Close()
	n.table.Close()
	n.backends.Close()
	return err
}
