// Package anvillog writes structured log lines and never blocks on the output.
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
	// maxQueueBytes limits the total size of queued lines.
	maxQueueBytes = 1 << 20
	// writeInterval is how long lines are collected before they are written, because each write costs a system call.
	writeInterval = 100 * time.Millisecond
)

// Writer queues lines and writes them on its own goroutine. Lines that don't fit into the queue are dropped and counted.
// It is safe for concurrent use. Lines written after Close are lost.
type Writer struct {
	out      io.Writer
	mu       sync.Mutex
	queue    []byte
	dropped  atomic.Int64
	reported int64
	wake     chan struct{}
	closing  chan struct{}
	stopped  chan struct{}
}

// NewWriter returns a Writer to out, which only the Writer's goroutine writes to. The caller must call Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line. It returns no error and never blocks on the output, also when the line is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.queue)+len(line) > maxQueueBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing, because the Writer's goroutine writes the lines. zap requires the method.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines dropped since NewWriter.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.stopped)
	for {
		select {
		case <-w.wake:
			time.Sleep(writeInterval)
			w.flush()
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush writes the queued lines. Errors of the output are ignored, because there is no other place to report them.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.queue
	w.queue = nil
	w.mu.Unlock()
	if n := w.dropped.Load(); n > w.reported {
		lines = fmt.Appendf(lines, "{\"level\":\"info\",\"msg\":\"lines dropped\",\"event\":6506,\"lines\":%d}\n", n-w.reported)
		w.reported = n
	}
	for len(lines) > 0 {
		n := chunkLen(lines)
		_, _ = w.out.Write(lines[:n])
		lines = lines[n:]
	}
}

// maxWriteBytes is the size up to which a write to a pipe is atomic (PIPE_BUF on Linux), so that the lines of several
// processes don't mix.
const maxWriteBytes = 4096

// chunkLen returns the length of the complete lines that fit into one write. It includes at least one line, even a longer
// one.
func chunkLen(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(lines, '\n'); n >= 0 {
		return n + 1
	}
	return len(lines)
}

// Close writes the queued lines and stops the goroutine. It blocks until the output has accepted them.
func (w *Writer) Close() {
	close(w.closing)
	<-w.stopped
}

// New returns a logger that writes JSON lines to w. level is the name of the lowest level that is written, such as debug,
// info or error; an unknown one is an error.
func New(w *Writer, level string) (logr.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return logr.Logger{}, fmt.Errorf("log level: %w", err)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), w, minLevel)
	return zapr.NewLogger(zap.New(core)), nil
}
