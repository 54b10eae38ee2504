package anvilcrowd

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/standin/anvilplatformapi"
	"anvilhold.org/standin/anvilplatformworker"
)

const (
	// crowdVariable is the environment variable that enables the tests.
	crowdVariable = "ANVIL_CROWD"
	// memoryMB is the memory of the smallest machine in use, and descriptors a lower limit than that of any machine.
	memoryMB    = 184
	descriptors = 1000
	// startTimeout and answerTimeout end a test that hangs; no result depends on them.
	startTimeout  = 60 * time.Second
	answerTimeout = 60 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// Ports of the programs. Each program has a loopback address of its own.
const (
	platformPort = 7200
	workerPort   = 7300
	entryPort    = 7400
	peerPort     = 7402
)

const (
	host      = "crowd.example"
	pool      = "layout"
	queuePath = "/batch/"
	key       = "crowd-key"
	jobID     = "5c0e7a21d94b36f8"
	bootstrap = "crowd-bootstrap"
)

// programs is the directory of the programs, which TestMain builds.
var programs string

// launches runs commands on one locked thread, because the kernel sends the death signal of a child when the thread that
// started it exits.
var launches = make(chan func())

func TestMain(m *testing.M) { os.Exit(testMain(m)) }

func testMain(m *testing.M) int {
	if os.Getenv(crowdVariable) == "" {
		fmt.Printf("set %s=1 to run these tests\n", crowdVariable)
		return 0
	}
	go func() {
		runtime.LockOSThread()
		for f := range launches {
			f()
		}
	}()
	dir, err := os.MkdirTemp("", "anvilcrowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for name, folder := range map[string]string{"anvilentry": "entry", "anvilplatform": "standin", "anvilnode": "platform"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, name), ".")
		cmd.Dir, cmd.Stdout, cmd.Stderr = filepath.Join("..", "..", folder), os.Stderr, os.Stderr
		if err := cmd.Run(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n", folder, err)
			return 1
		}
	}
	programs = dir
	return m.Run()
}

// endpoint is an address and a path at which a crowd appears.
type endpoint struct {
	name, addr, path string
}

// system is a running entry instance with the stand-ins that it needs.
type system struct {
	net       string
	dir       string
	entry     *exec.Cmd
	exited    chan struct{}
	endpoints []endpoint
	metrics   string
	peers     string
	// body is the largest body that the instance accepts, in bytes.
	body     int
	ordinary func(ctx context.Context) error
	// submission, field as often as wanted and end are a legal body of many fields, and headers those of its request.
	submission, field, end, headers string
}

// programCase is a program under test.
type programCase struct {
	name  string
	start func(*testing.T) *system
}

func programCases() []programCase {
	return []programCase{{"anvilnode", startNode}, {"anvilentry", startEntry}}
}

func (s *system) addr(last, port int) string { return fmt.Sprintf("%s.%d:%d", s.net, last, port) }

func newSystem(t *testing.T) *system {
	return &system{net: fmt.Sprintf("127.%d.%d", 64+rand.IntN(32), rand.IntN(250)), dir: t.TempDir()}
}

// launch starts a program and kills it at the end of the test.
func (s *system) launch(t *testing.T, env string, name string, args ...string) (*exec.Cmd, chan struct{}) {
	t.Helper()
	out, err := os.Create(filepath.Join(s.dir, name+"-"+args[0]+".log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(programs, name), args...)
	cmd.Env = append(os.Environ(), env)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started, exited := make(chan error), make(chan struct{})
	launches <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	go func() {
		// The exit status of a killed process says nothing.
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
	return cmd, exited
}

// startNode starts an instance on the users' platform with the limits of a small machine.
func startNode(t *testing.T) *system {
	t.Helper()
	s := newSystem(t)
	s.body = 262_144
	platform := s.addr(1, platformPort)
	s.launch(t, "", "anvilplatform", anvilplatformapi.PlatformCommand, "-addr", platform)
	operator := anvilplatformapi.NewOperator(platform)
	retry(t, s, func(ctx context.Context) error {
		return operator.Configure(ctx, 1, []string{pool},
			[]anvilplatformapi.Queue{anvilplatformapi.NewQueue("batch", host, queuePath, pool, 1, 4, false)},
			[]anvilplatformapi.Team{anvilplatformapi.NewTeam("team", anvilsize.New(40_000, 131_072, 0), key)})
	})
	s.launch(t, "", "anvilplatform", anvilplatformapi.WorkerCommand, "-id", "w1", "-addr", s.addr(2, workerPort), "-site", platform,
		"-pool", pool, "-domain", "d1", "-rack", "r1", "-size", "8,16384,0")
	settings := anvilplatformapi.NewSettings("e1", s.net+".3", "d1", "r1", platform, platform, entryPort, 1)
	text := strings.NewReplacer("memory_mb = 512", fmt.Sprintf("memory_mb = %d", memoryMB),
		"file_descriptors = 4096", fmt.Sprintf("file_descriptors = %d", descriptors)).Replace(settings.Text())
	file := filepath.Join(s.dir, "settings.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.entry, s.exited = s.launch(t, anvilplatformapi.SettingsVariable+"="+file, "anvilnode", "serve")
	s.endpoints = []endpoint{
		{"submission", settings.CallerAddr(), queuePath + jobID}, {"no route", settings.CallerAddr(), "/nowhere/" + jobID},
		{"ready", settings.ReadyAddr(), "/-/readiness"}, {"metrics", settings.MetricsAddr(), "/metrics"},
	}
	s.metrics, s.peers = settings.MetricsAddr(), s.addr(3, peerPort)
	s.submission, s.field, s.end = `{"spec":"text","steps":[{"count":1,"cpu":500,"memory_request_mb":256}`, `,{}`, `]}`
	s.headers = "Host: " + host + "\r\nAuthorization: Token " + key + "\r\n"
	caller := anvilplatformapi.NewCaller()
	s.ordinary = func(ctx context.Context) error { return runJob(ctx, caller, settings) }
	s.awaitOrdinary(t)
	return s
}

// runJob submits a job and waits for its end. Each call has an id of its own.
func runJob(ctx context.Context, caller *anvilplatformapi.Caller, settings anvilplatformapi.Settings) error {
	defer caller.Close()
	payload, err := anvilplatformworker.Payload(anvilplatformworker.NewTaskSpec(anvilsize.New(500, 256, 0), 20))
	if err != nil {
		return err
	}
	job := anvilplatformapi.NewJob(payload, []anvilplatformapi.Step{anvilplatformapi.NewStep(1, anvilsize.New(500, 256, 0), 20)})
	target := anvilplatformapi.NewTarget(settings.CallerAddr(), host, fmt.Sprintf("%s%016x", queuePath, rand.Uint64()), key)
	if status := caller.Submit(ctx, target, job); status/100 != 2 {
		return fmt.Errorf("the submission got status %d", status)
	}
	for ctx.Err() == nil {
		if _, state := caller.State(ctx, target); state == "completed" {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return ctx.Err()
}

// startEntry starts an instance of the own interface with its default limits.
func startEntry(t *testing.T) *system {
	t.Helper()
	s := newSystem(t)
	s.body = 1 << 20
	platform, front := s.addr(1, platformPort), s.addr(3, entryPort)
	s.launch(t, "", "anvilplatform", "serve", "-addr", platform, "-lag", "1000", "-writes", "400", "-reads", "2000")
	retry(t, s, func(ctx context.Context) error { return get(ctx, "http://"+platform+"/") })
	s.launch(t, "", "anvilplatform", "worker", "-id", "w1", "-addr", s.addr(2, workerPort), "-platform", platform, "-domain", "d1",
		"-region", "r1", "-pool", pool, "-size", "64000m,131072,0", "-trace", filepath.Join(s.dir, "trace"))
	file := filepath.Join(s.dir, "settings.toml")
	text := fmt.Sprintf("[instance]\nname = \"e1\"\ndomain = \"d1\"\nregion = \"r1\"\n[listen]\nfront = %q\npeer = %q\n[platform]\ntable = %q\n"+
		"[ownership]\nshards = 1\nlease = 8000\nmargin = 2000\n[security]\nplain = true\n", front, s.addr(3, peerPort), platform)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.entry, s.exited = s.launch(t, "", "anvilentry", "serve", "-settings", file)
	s.endpoints = []endpoint{
		{"submission", front, "/v1/tasks"}, {"no route", front, "/nowhere"}, {"ready", front, "/ready"}, {"metrics", front, "/debug/vars"},
	}
	s.metrics, s.peers = front, s.addr(3, peerPort)
	s.submission, s.field, s.end, s.headers = `{"pool":"layout","kind":"batch"`, `,"a":[]`, `}`, "Host: a\r\n"
	s.ordinary = func(ctx context.Context) error { return post(ctx, "http://"+front+"/v1/call/"+pool) }
	s.awaitOrdinary(t)
	return s
}

func get(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func post(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("work=10\n"))
	if err != nil {
		return err
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		err = fmt.Errorf("the call got status %d, %s", res.StatusCode, res.Header.Get("Code"))
	}
	_ = res.Body.Close()
	return err
}

// retry repeats f until it succeeds.
func retry(t *testing.T, s *system, f func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		call, end := context.WithTimeout(ctx, 10*time.Second)
		err := f(call)
		end()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%v\n%s", err, s.logTail())
		case <-time.After(pollInterval):
		}
	}
}

func (s *system) awaitOrdinary(t *testing.T) {
	t.Helper()
	retry(t, s, s.ordinary)
}

// logTail returns the end of the entry instance's log.
func (s *system) logTail() string {
	files, _ := filepath.Glob(filepath.Join(s.dir, "anvil[en]*-serve.log"))
	var out strings.Builder
	for _, f := range files {
		text, _ := os.ReadFile(f)
		lines := bytes.Split(text, []byte("\n"))
		out.Write(bytes.Join(lines[max(len(lines)-8, 0):], []byte("\n")))
	}
	return out.String()
}

// peakMemory returns the largest resident memory of the instance so far, in MB.
func (s *system) peakMemory(t *testing.T) int { return s.memory(t, "VmHWM:") }

// memory returns a figure of /proc/PID/status in MB.
func (s *system) memory(t *testing.T, name string) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.entry.Process.Pid))
	if err != nil {
		t.Fatalf("%v\n%s", err, s.logTail())
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == name {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return kb >> 10
		}
	}
	t.Fatalf("/proc has no %s", name)
	return 0
}

func (s *system) openDescriptors(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.entry.Process.Pid))
	if err != nil {
		t.Fatalf("%v\n%s", err, s.logTail())
	}
	return len(files)
}

// assertBounded checks that the instance lives within the limits of its machine.
func (s *system) assertBounded(t *testing.T, maxDescriptors int) {
	t.Helper()
	select {
	case <-s.exited:
		t.Fatalf("the instance has exited\n%s", s.logTail())
	default:
	}
	n, mb := s.openDescriptors(t), s.peakMemory(t)
	t.Logf("%d descriptors, at most %d MB, now %d MB", n, mb, s.memory(t, "VmRSS:"))
	if n > maxDescriptors {
		t.Errorf("%d open descriptors, the limit is %d", n, maxDescriptors)
	}
	if mb > memoryMB {
		t.Errorf("%d MB of memory, the limit is %d MB", mb, memoryMB)
	}
}

// assertServes checks that an ordinary job is taken, run and answered.
func (s *system) assertServes(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		if err = s.ordinary(ctx); err == nil {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Errorf("no ordinary request was served: %v\n%s", err, s.logTail())
}
