package anvilsoak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"anvilhold.org/lib/anvilclock"

	"anvilhold.org/standin/anvilplatformapi"
)

// Ports of the programs. Each entry instance and worker has a loopback address of its own.
const (
	platformPort = 7200
	workerPort   = 7300
	entryPort    = 7400
)

// Last bytes of the addresses; the index of an instance or worker is added.
const (
	platformHost    = 1
	entryHost       = 10
	workerHost      = 60
	entryProxyHost  = 110 // the proxy between an instance and the platform
	workerProxyHost = 160 // the proxy between the instances and a worker
	storeProxyHost  = 210 // the proxy between a worker and the platform
)

const (
	// domainCount is the number of failure domains, over which instances and workers are spread.
	domainCount = 3
	// maxLagPPM is the largest lag of a worker's clock that the platform allows, in parts per million.
	maxLagPPM = 20_000
	// maxLinger is the longest time for which a worker serves on after the time for draining.
	maxLinger = anvilclock.Millis(6000)
)

// workerSize is the capacity of a worker. It is small so that capacity is scarce. workerCPU is its cores, in thousandths.
const (
	workerSize = "8,16384,0"
	workerCPU  = 8000
)

// fleet holds all processes of a run, which are the platform, the workers and the entry instances, and the proxies
// between them.
type fleet struct {
	bin, dir, net string
	spawner       *spawner
	audit         *audit

	platform *process
	entries  []*entryNode
	workers  []*workerNode
	// link carries the store's answers to the instances of farDomain; nil for no limit.
	link *link
	// maxLease and stopGrace are the bounds of the platform for runs.
	maxLease, stopGrace anvilclock.Millis
	// minLagPPM is the smallest lag of a clock that rng draws, and latePercent the percentage of the starts that every fourth
	// worker carries out late.
	minLagPPM, latePercent int
	// rng draws the clock rate and the linger time of each worker; if it is nil, every fourth worker has a slow clock.
	rng *rand.Rand
	// trace is the file to which the events of all workers are copied.
	trace *os.File
}

// entryNode is an entry instance with its settings and its proxy. The process is replaced after a kill or a
// stop; mu is locked during a fault.
type entryNode struct {
	mu       sync.Mutex
	process  *process
	settings anvilplatformapi.Settings
	file     string
	proxy    *proxy
}

// workerNode is a worker with its proxies. The process is replaced after a kill or when it has left; mu is locked
// during a fault.
type workerNode struct {
	mu      sync.Mutex
	process *process
	proxy   *proxy
	store   *proxy
	index   int
	// lagPPM is by how many parts per million the clock of the worker is slow, and linger how long it serves on after
	// the time for draining.
	lagPPM int
	linger anvilclock.Millis
	// generation counts the workers that have left, because each successor has a new id.
	generation int
}

func (w *workerNode) domain() int { return w.index % domainCount }

func (w *workerNode) id() string { return fmt.Sprintf("w%d-%d", w.index, w.generation) }

func (f *fleet) addr(last, port int) string { return fmt.Sprintf("%s.%d:%d", f.net, last, port) }

// start starts the platform, all workers and all entry instances.
func (f *fleet) start(entries, workers int) error {
	platformAddr := f.addr(platformHost, platformPort)
	var err error
	if f.trace, err = os.OpenFile(filepath.Join(f.dir, "trace.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	f.platform, err = f.spawner.start(anvilplatformapi.PlatformCommand, filepath.Join(f.dir, "site.log"), nil, nil, filepath.Join(f.bin, "anvilplatform"), anvilplatformapi.PlatformCommand, "-addr", platformAddr)
	if err != nil {
		return err
	}
	if err := waitListening(platformAddr); err != nil {
		return err
	}
	for i := range workers {
		w := &workerNode{index: i}
		if w.proxy, err = newProxy(f.addr(workerProxyHost+i, workerPort), f.addr(workerHost+i, workerPort), nil); err != nil {
			return err
		}
		if w.store, err = newProxy(f.addr(storeProxyHost+i, platformPort), platformAddr, nil); err != nil {
			return err
		}
		if f.rng != nil {
			w.lagPPM, w.linger = f.minLagPPM+f.rng.IntN(maxLagPPM-f.minLagPPM+1), anvilclock.Millis(f.rng.Int64N(int64(maxLinger)))
		} else if i%4 == 2 {
			w.lagPPM = maxLagPPM
		}
		f.workers = append(f.workers, w)
		if err := f.startWorker(w); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := f.addEntry(i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) addEntry(i int) error {
	proxyAddr := f.addr(entryProxyHost+i, platformPort)
	e := &entryNode{file: filepath.Join(f.dir, fmt.Sprintf("e%d.toml", i))}
	var err error
	var over *link
	if i%domainCount == farDomain {
		over = f.link
	}
	if e.proxy, err = newProxy(proxyAddr, f.addr(platformHost, platformPort), over); err != nil {
		return err
	}
	ip, _, err := net.SplitHostPort(f.addr(entryHost+i, 0))
	if err != nil {
		return err
	}
	share := 0.8
	if i%2 == 1 {
		share = 0.3
	}
	e.settings = anvilplatformapi.NewSettings(fmt.Sprintf("e%d", i), ip, fmt.Sprintf("d%d", i%domainCount), "r1", proxyAddr, proxyAddr, entryPort, share,
		anvilplatformapi.WithRunBounds(f.maxLease, f.stopGrace), anvilplatformapi.WithRegions(f.regions()))
	if err := os.WriteFile(e.file, []byte(e.settings.Text()), 0o600); err != nil {
		return err
	}
	f.entries = append(f.entries, e)
	return f.startEntry(e)
}

// farDomain is the failure domain whose instances reach the store over a link, if there is one.
const farDomain = 1

// regions maps the failure domains to their regions.
func (f *fleet) regions() map[string]string {
	out := map[string]string{}
	for i := range domainCount {
		out[fmt.Sprintf("d%d", i)] = "r1"
	}
	if f.link != nil {
		out[fmt.Sprintf("d%d", farDomain)] = "r2"
	}
	return out
}

func (f *fleet) startEntry(e *entryNode) error {
	p, err := f.spawner.start("entry", e.file+".log", []string{anvilplatformapi.SettingsVariable + "=" + e.file}, nil,
		filepath.Join(f.bin, "anvilnode"), "serve")
	if err != nil {
		return err
	}
	e.process = p
	return nil
}

func (f *fleet) startWorker(w *workerNode) error {
	latePercent := 0
	if w.index%4 == 1 {
		latePercent = f.latePercent
	}
	id := w.id()
	domain := fmt.Sprintf("d%d", w.domain())
	f.audit.call(func(a *audit) { a.lagPPM[id], a.domains[id] = w.lagPPM, domain })
	p, err := f.spawner.start(w.id(), filepath.Join(f.dir, w.id()+".log"), nil, f.readTrace, filepath.Join(f.bin, "anvilplatform"), anvilplatformapi.WorkerCommand,
		"-id", w.id(), "-addr", f.addr(workerHost+w.index, workerPort), "-listed", f.addr(workerProxyHost+w.index, workerPort),
		"-site", f.addr(storeProxyHost+w.index, platformPort), "-pool", pool, "-domain", domain,
		"-rack", fmt.Sprintf("r%d", w.index/2), "-size", workerSize, "-late", fmt.Sprint(latePercent), "-slow", fmt.Sprint(float64(w.lagPPM)/10_000),
		"-linger", fmt.Sprint(int64(w.linger)), "-lease", fmt.Sprint(int64(f.maxLease)))
	if err != nil {
		return err
	}
	w.process = p
	return nil
}

// readTrace reads the events of a worker until r ends, copies them to the trace and posts them to the audit.
func (f *fleet) readTrace(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		t, err := anvilplatformapi.ParseTrace(lines.Bytes())
		if _, werr := f.trace.Write(append(lines.Bytes(), '\n')); err == nil {
			err = werr
		}
		f.audit.post(func(a *audit) {
			if err != nil {
				a.violate("TRACE", "%v", err)
				return
			}
			a.pending = append(a.pending, t)
		})
	}
}

// killWorker kills a worker, waits for its exit and records that its runs have ended.
func (f *fleet) killWorker(w *workerNode) {
	id, p := w.id(), w.process
	p.signal(syscall.SIGKILL)
	<-p.done
	f.audit.call(func(a *audit) { a.recordExit(id) })
}

// close kills all processes, waits for their exit and closes the proxies.
func (f *fleet) close() {
	for _, e := range f.entries {
		if e.process != nil {
			e.process.signal(syscall.SIGCONT)
			e.process.signal(syscall.SIGKILL)
		}
		e.proxy.close()
	}
	for _, w := range f.workers {
		if w.process != nil {
			w.process.signal(syscall.SIGCONT)
			w.process.signal(syscall.SIGKILL)
		}
		w.proxy.close()
		w.store.close()
	}
	if f.platform != nil {
		f.platform.signal(syscall.SIGKILL)
		<-f.platform.done
	}
	for _, e := range f.entries {
		if e.process != nil {
			<-e.process.done
		}
	}
	for _, w := range f.workers {
		if w.process != nil {
			<-w.process.done
		}
	}
	// The trace serves only to analyse violations, so that the error can be ignored.
	_ = f.trace.Close()
}

// listenTimeout is how long a program may take until it listens.
const listenTimeout = 5 * time.Second

func waitListening(addr string) error {
	for end := time.Now().Add(listenTimeout); ; {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			return c.Close()
		}
		if time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
