package anvilplatformapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilplatformworker"
)

// Guards against a member that waits for a lost reply until the other members have started and ended. The first call
// gets no reply and must time out early; the next one succeeds.
func TestJoin(t *testing.T) {
	released := make(chan struct{})
	var first atomic.Bool
	first.Store(true)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if first.CompareAndSwap(true, false) {
			<-released
			return
		}
		writeJSON(w, http.StatusOK, gangStartBody{At: 5})
	}))
	defer srv.Close()
	defer close(released)
	g := NewGangs(strings.TrimPrefix(srv.URL, "http://"), anvilactor.New[*anvilplatformworker.Worker]())
	begin := time.Now()
	if _, err := g.join(joinGangBody{}); err == nil {
		t.Fatal("the call without a reply did not fail")
	}
	if d := time.Since(begin); d > joinGangTimeout/2 {
		t.Fatalf("the call without a reply took %v", d)
	}
	at, err := g.join(joinGangBody{})
	if err != nil || at != 5 {
		t.Fatalf("got start time %d and error %v, want 5 and no error", at, err)
	}
}
