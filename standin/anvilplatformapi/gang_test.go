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

// Guards against a member that waits for an answer which was lost, while the others have begun and ended.
func TestJoin(t *testing.T) {
	released := make(chan struct{})
	var first atomic.Bool
	first.Store(true)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if first.CompareAndSwap(true, false) {
			<-released
			return
		}
		writeJSON(w, http.StatusOK, beginBody{At: 5})
	}))
	defer srv.Close()
	defer close(released)
	g := NewGangs(strings.TrimPrefix(srv.URL, "http://"), anvilactor.New[*anvilplatformworker.Worker]())
	begin := time.Now()
	if _, err := g.join(joinGangBody{}); err == nil {
		t.Fatal("an answer that was lost has come")
	}
	if d := time.Since(begin); d > joinGangTimeout/2 {
		t.Fatalf("the member waited %v", d)
	}
	at, err := g.join(joinGangBody{})
	if err != nil || at != 5 {
		t.Fatalf("%d, %v", at, err)
	}
}
