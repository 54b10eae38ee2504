package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is one process of the system.
type node struct {
	index    int
	name     string
	front    *storeFront
	settings string
	frontend string
	ready    string
	peer     string
	cmd      *exec.Cmd
	log      *os.File
}

// cell is a small deployment: a store, workers and entry instances.
type cell struct {
	dir     string
	store   *store
	nodes   []*node
	workers []*worker
	version int
}

func newCell() (*cell, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &cell{dir: dir, store: newStore(), version: 10}, nil
}

// close ends all processes that the case has started.
func (c *cell) close() {
	for _, n := range c.nodes {
		n.kill()
	}
	for _, w := range c.workers {
		w.mu.Lock()
		w.closed = true
		w.mu.Unlock()
	}
	_ = os.RemoveAll(c.dir)
}

func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	n.cmd = nil
	_ = n.log.Close()
}

// queue is a route of the configuration.
type queue struct {
	name, prefix string
	priority     int
}

// tenant is a tenant of the configuration.
type tenant struct {
	name string
	keys []string
	// weight is the share in jobs a second, maximum the millicores that the tenant may have running; 0 means no limit.
	weight, maximum int
}

const host = "ficu95.example"

// configure writes a new version of the configuration as the operator; its return is the acknowledgement.
func (c *cell) configure(queues []queue, tenants []tenant) {
	c.version += 3
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "path_prefix": q.prefix, "service": "layout", "priority": q.priority, "max_attempts": 4,
			"stretch": 4.0, "target_latency_ms": 3000,
		})
	}
	ts := []map[string]any{}
	for _, t := range tenants {
		ts = append(ts, map[string]any{
			"name": t.name, "api_keys": t.keys, "weight": t.weight,
			"maximum": map[string]int{"cpu": t.maximum, "memory_request_mb": 0, "gpu": 0},
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version": c.version, "routes": routes, "services": []map[string]any{{"name": "layout", "rejects_overload": false}},
		"tenants": ts, "limits": map[string]int{"body_bytes": 262144},
	})
	c.store.put("op", "config", value)
	logf("operator: configuration %d acknowledged, routes %v, tenants %v", c.version, queues, tenants)
}

// freePorts returns the first of count consecutive free ports, below those that outgoing connections use.
func freePorts(count int) (int, error) {
	for range 200 {
		first, free := 10000+rand.IntN(20000), true
		for i := 0; free && i < count; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

const settingsText = `node_name = "%s"
role = "entry"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "%s"
region = "coast"
internal_port_range = [%d,%d]
seed_nodes = []
bootstrap = true
tolerance_member = false
discovery = "platform"
entry_point = "vip"
heartbeat_interval_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "invocation"
advice = ""
[zones]
nyali = "coast"
westlands = "coast"
likoni = "coast"
[listen]
frontend = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
region_losses = 0
[bounds]
contact_timeout_ms = 4000
ack_timeout_ms = 5000
drain_ms = 2500
grace_s = 6
config_apply_ms = 2500
strict_revocation = true
revoke_ms = 5000
max_hold_ms = 10000
stop_grace_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
lease_ms = 3000
fencing_required = true
[platform]
address = "%s"
form = "table"
writes_per_s = 800
reads_per_s = 2000
transaction_ms = 4.0
partition_writes_s = 250
row_bytes = 65536
cross_shard = true
history_s = 20
[cloud_api]
address = "127.0.0.1:1"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
`

var zones = []string{"nyali", "westlands", "likoni"}

// addWorkers registers workers, each on a rack of its own.
func (c *cell) addWorkers(count int, slowPercent float64) error {
	for i := range count {
		w, err := newWorker(c.store, fmt.Sprintf("layout-%c%04x", 'a'+i, 0x3f1a+i*977), "layout", zones[i%len(zones)], fmt.Sprintf("r%d", i+1), slowPercent)
		if err != nil {
			return err
		}
		c.workers = append(c.workers, w)
	}
	return nil
}

// startNodes starts entry instances and waits until all are ready.
func (c *cell) startNodes(count int) error {
	for i := range count {
		front, err := c.store.front(i)
		if err != nil {
			return err
		}
		first, err := freePorts(6)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i/len(zones)+1)
		n := &node{
			index: i, name: name, front: front, settings: filepath.Join(c.dir, name+".toml"),
			frontend: fmt.Sprintf("127.0.0.1:%d", first+4), ready: fmt.Sprintf("127.0.0.1:%d", first+5), peer: fmt.Sprintf("127.0.0.1:%d", first),
		}
		text := fmt.Sprintf(settingsText, name, zones[i%len(zones)], first, first+3, first+4, first+5, front.addr)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
		if err := c.startNode(n); err != nil {
			return err
		}
	}
	return c.awaitReady(15*time.Second, c.nodes...)
}

// startNode starts the process of a node with the command of the deploy file.
func (c *cell) startNode(n *node) error {
	var err error
	if n.log, err = os.OpenFile(filepath.Join(logDir(c), n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	n.cmd = exec.Command("target/anvilnode", "serve")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "ANVILHOLD_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	logf("start of node %d, %s", n.index, n.name)
	return n.cmd.Start()
}

// logDir is where the nodes' output goes: KEEP_LOGS in the environment, or the temporary folder.
func logDir(c *cell) string {
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		return dir
	}
	return c.dir
}

func (c *cell) awaitReady(limit time.Duration, nodes ...*node) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ok := 0
		for _, n := range nodes {
			if n.isReady() {
				ok++
			}
		}
		if ok == len(nodes) {
			return nil
		}
	}
	return errors.New("the nodes are not ready in time")
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leader returns the node that last wrote to the store under a condition as leader, nil when there is none.
func (c *cell) leader() *node {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.lastWriter < 0 {
		return nil
	}
	return c.nodes[c.store.lastWriter]
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one attempt of a client's call. It returns status 0 when there is no answer within the deadline.
func (c *cell) call(n *node, method, path, key string, body any, deadline time.Duration) (int, string) {
	data := []byte{}
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontend+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Remaining-Ms", fmt.Sprint(deadline.Milliseconds()))
	sent := time.Now()
	resp, err := clients.Do(req)
	if err != nil {
		logf("client: %s %s at node %d: no answer after %d ms", method, path, n.index, time.Since(sent).Milliseconds())
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	logf("client: %s %s at node %d, sent %.3f: %d %s", method, path, n.index, sent.Sub(began).Seconds(), resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// step is a step of a job.
type step struct {
	Count     int   `json:"count"`
	CPU       int   `json:"cpu"`
	Memory    int   `json:"memory_request_mb"`
	Estimated int   `json:"estimated_ms"`
	After     []int `json:"after,omitempty"`
}

// jobBody is the body of a submission.
type jobBody struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	Repetitions int    `json:"repetitions,omitempty"`
	FirstMS     int64  `json:"first_run_ms,omitempty"`
	IntervalMS  int64  `json:"interval_ms,omitempty"`
}

func simpleJob(tasks, workMS int) jobBody {
	return jobBody{Spec: fmt.Sprintf("work_ms=%d", workMS), Steps: []step{{Count: tasks, CPU: 500, Memory: 256, Estimated: workMS}}}
}

// submit hands a job in, with retries at other nodes as clients do. It reports whether the job was accepted.
func (c *cell) submit(first int, path, key string, body jobBody) bool {
	for try := range 5 {
		status, _ := c.call(c.nodes[(first+try)%len(c.nodes)], http.MethodPost, path, key, body, 3*time.Second)
		switch {
		case status >= 200 && status < 300:
			return true
		case status == 0 || status == 502 || status == 503 || status == 504 || status == 429:
			time.Sleep(200 * time.Millisecond)
		default:
			return false
		}
	}
	return false
}

// state asks the nodes for the state of a job.
func (c *cell) state(first int, path, key string) string {
	for try := range len(c.nodes) {
		n := c.nodes[(first+try)%len(c.nodes)]
		if n.cmd == nil {
			continue
		}
		status, text := c.call(n, http.MethodGet, path, key, nil, 2*time.Second)
		var out struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &out) == nil {
			return out.State
		}
		if status == http.StatusGone || status == http.StatusNotFound {
			return fmt.Sprint(status)
		}
	}
	return ""
}

// awaitState waits until a job has a state.
func (c *cell) awaitState(path, key, want string, limit time.Duration) error {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
		if last = c.state(0, path, key); last == want {
			return nil
		}
	}
	return fmt.Errorf("job %s is %q, want %q", path, last, want)
}

// runsOf returns all runs of a job's tasks that the workers have begun.
func (c *cell) runsOf(id string) []workerRun {
	var out []workerRun
	for _, w := range c.workers {
		for _, r := range w.runs() {
			if strings.HasPrefix(r.task, id+".") {
				out = append(out, r)
			}
		}
	}
	return out
}

// awaitRun waits for a run of a job's task to begin.
func (c *cell) awaitRun(id string, limit time.Duration) (workerRun, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if runs := c.runsOf(id); len(runs) > 0 {
			return runs[0], nil
		}
	}
	return workerRun{}, fmt.Errorf("no task of job %s was started in time", id)
}

func (c *cell) worker(id string) *worker {
	for _, w := range c.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// overlap returns a text about two runs of one task that were at work at the same time for longer than a tenth of a
// second, empty when there are none.
func (c *cell) overlap(id string) string {
	runs := c.runsOf(id)
	now := time.Now()
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task {
				continue
			}
			from, to := a.begin, a.end
			if b.begin.After(from) {
				from = b.begin
			}
			if to.IsZero() {
				to = now
			}
			if end := b.end; !end.IsZero() && end.Before(to) {
				to = end
			}
			if d := to.Sub(from); d > 100*time.Millisecond {
				return fmt.Sprintf("TWICE: %s and %s were at work at the same time for %d ms", a, b, d.Milliseconds())
			}
		}
	}
	return ""
}
