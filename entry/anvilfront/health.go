package anvilfront

import (
	"io"
	"net/http"
	"strconv"
)

// health responds with status 200 as long as the process runs, and with the text "leaving" during a planned stop.
func (f *Front) health(w http.ResponseWriter, _ *http.Request) {
	text := "ok"
	if f.Leaving() {
		text = "leaving"
	}
	writeText(w, http.StatusOK, text)
}

// ready responds with status 200 when the load balancer should send requests, and with 503 during start and planned
// stop.
func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case f.Leaving():
		writeText(w, http.StatusServiceUnavailable, "leaving")
	case !f.state().Serving():
		writeText(w, http.StatusServiceUnavailable, "starting")
	default:
		writeText(w, http.StatusOK, "ok")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text += "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
