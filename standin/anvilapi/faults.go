package anvilapi

import (
	"net/http"
	"time"

	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilwire"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilcontrolplane"
	"anvilhold.org/standin/anvilfault"
)

// regionHeader is the request header with the region of the client.
const regionHeader = "Region"

// faultInjector applies the injected faults to requests before it passes them to next.
type faultInjector struct {
	actor *anvilactor.Actor[*anvilcontrolplane.ControlPlane]
	next  http.Handler
}

// ServeHTTP passes a request to the next handler. Faults can refuse it with status 503, delay it or lose its response.
func (f *faultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reply := make(chan anvilfault.Effect, 1)
	effect, ok := anvilactor.Ask(f.actor, faultEffectMessage{region: r.Header.Get(regionHeader), reply: reply}, reply)
	switch {
	case !ok:
		writeError(w, stoppingError())
		return
	case effect.Down():
		writeError(w, anvilerror.Refuse(anvilerror.NoTable, "the platform is down"))
		return
	}
	if effect.Delay() > 0 {
		time.Sleep(effect.Delay().Duration())
	}
	if !effect.LoseResponse() {
		f.next.ServeHTTP(w, r)
		return
	}
	f.next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
	if effect.CloseConnection() {
		if closeConnection(w) {
			return
		}
	}
	writeMessage(w, http.StatusGatewayTimeout, anvilwire.Refusal_builder{
		Outcome: string(anvilerror.Unknown), Code: string(anvilerror.NoTable), Reason: "the response was lost",
	}.Build())
}

// closeConnection closes the connection without a response. It returns false when that isn't possible.
func closeConnection(w http.ResponseWriter) bool {
	h, ok := w.(http.Hijacker)
	if !ok {
		return false
	}
	conn, _, err := h.Hijack()
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// discardWriter is a ResponseWriter that drops the response.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
