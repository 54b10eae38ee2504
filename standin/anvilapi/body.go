package anvilapi

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilwire"
)

// Limits of request bodies in bytes.
const (
	maxStartBody  = 1 << 20
	maxSmallBody  = 64 << 10
	maxCommitBody = 8 << 20 // fits 128 rows of 48 KiB in base64
)

// readBody reads a request body. A body of more than limit bytes is an error.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, anvilerror.Refuse(anvilerror.TooLarge, fmt.Sprintf("the body has more than %d bytes", limit))
	case err != nil:
		return nil, badInput("the body could not be read")
	}
	return data, nil
}

// readMessage decodes a request body of at most limit bytes, a protobuf message in JSON, into m.
func readMessage(w http.ResponseWriter, r *http.Request, limit int64, m proto.Message) error {
	data, err := readBody(w, r, limit)
	if err != nil {
		return err
	}
	if err := protojson.Unmarshal(data, m); err != nil {
		return badInput("the body is not a valid %s: %s", m.ProtoReflect().Descriptor().Name(), oneLine(err))
	}
	return nil
}

// writeMessage responds with a protobuf message in JSON.
func writeMessage(w http.ResponseWriter, status int, m proto.Message) {
	data, err := protojson.Marshal(m)
	if err != nil {
		http.Error(w, "the response could not be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, data)
}

// writeBody responds with data. An error of the write is ignored: it means that the client has closed the connection.
// The length is always set: without it nbhttp 1.6.8 corrupts responses of more than one segment and the requests that
// share its buffers.
func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// writeError responds with a Refusal message and the status for the error's code.
func writeError(w http.ResponseWriter, err error) {
	e := anvilerror.As(err)
	writeMessage(w, status(e.Code()), anvilwire.Refusal_builder{
		Outcome: string(e.Outcome()),
		Code:    string(e.Code()),
		Reason:  e.Reason(),
		Retry:   int64(e.Retry()),
	}.Build())
}

func status(c anvilerror.Code) int {
	switch c {
	case anvilerror.BadInput:
		return http.StatusBadRequest
	case anvilerror.TooLarge:
		return http.StatusRequestEntityTooLarge
	case anvilerror.Missing:
		return http.StatusNotFound
	case anvilerror.OverRate:
		return http.StatusTooManyRequests
	case anvilerror.NoTable, anvilerror.Leaving:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// stoppingError is the error for a request that was not answered before the process stopped.
func stoppingError() error {
	return anvilerror.UnknownOutcome(anvilerror.Leaving, "the process is stopping")
}

func badInput(format string, args ...any) error {
	return anvilerror.Refuse(anvilerror.BadInput, fmt.Sprintf(format, args...))
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// maxAmount keeps sums of sizes below the largest int64.
const maxAmount = 1_000_000_000_000

func readSize(m *anvilwire.Size) (anvilsize.Size, error) {
	s := anvilsize.New(m.GetCpu(), m.GetMemory(), m.GetAccel())
	if s.Negative() || !s.Fits(anvilsize.New(maxAmount, maxAmount, maxAmount)) {
		return anvilsize.Size{}, badInput("amounts of a size must be between 0 and %d", int64(maxAmount))
	}
	return s, nil
}

func wireSize(s anvilsize.Size) *anvilwire.Size {
	return anvilwire.Size_builder{Cpu: s.CPU(), Memory: s.Memory(), Accel: s.Accel()}.Build()
}
