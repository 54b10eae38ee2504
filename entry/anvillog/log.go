// Package anvillog writes structured log lines without ever waiting for the output.
package anvillog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueBytes bounds the lines that wait for the output.
	queueBytes = 1 << 20
	// writeEvery is how long lines are gathered before they are written: each write costs a system call.
	writeEvery = 100 * time.Millisecond
)

// Writer queues lines and writes them on a goroutine of its own. Lines that don't fit are dropped and
// counted.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	dropped atomic.Int64
	told    int64
	wake    chan struct{}
	done    chan struct{}
	ended   chan struct{}
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never fails and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > queueBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing; lines are written by the writer's goroutine.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case <-w.wake:
			time.Sleep(writeEvery)
			w.flush()
		case <-w.done:
			w.flush()
			return
		}
	}
}

// flush writes what waits. An output that fails gets nothing else to say it on.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.waiting
	w.waiting = nil
	w.mu.Unlock()
	if n := w.dropped.Load(); n > w.told {
		lines = fmt.Appendf(lines, "{\"level\":\"info\",\"msg\":\"lines dropped\",\"event\":6506,\"lines\":%d}\n", n-w.told)
		w.told = n
	}
	for len(lines) > 0 {
		n := chunk(lines)
		_, _ = w.out.Write(lines[:n])
		lines = lines[n:]
	}
}

// pipeBytes is the most that a pipe takes in one piece, so that lines of several processes don't mix.
const pipeBytes = 4096

// chunk returns the length of the whole lines that fit into one write, at least one line.
func chunk(lines []byte) int {
	if len(lines) <= pipeBytes {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:pipeBytes], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(lines, '\n'); n >= 0 {
		return n + 1
	}
	return len(lines)
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	close(w.done)
	<-w.ended
}

// New returns a log of JSON lines to w, from a least level on.
func New(w *Writer, level string) (logr.Logger, error) {
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return logr.Logger{}, fmt.Errorf("log level: %w", err)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), w, least)
	return zapr.NewLogger(zap.New(core)), nil
}
