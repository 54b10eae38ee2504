package anvilplatformapi

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilplatform"
	"anvilhold.org/standin/anvilplatformworker"
)

type joinGangBody struct {
	Gang    string `json:"gang"`
	Member  string `json:"member"`
	Members int    `json:"members"`
}

type gangStartBody struct {
	At int64 `json:"at"` // milliseconds since 1970
}

type joinGangMessage struct {
	body  joinGangBody
	reply chan anvilclock.Millis
}

// Apply records that a member of a gang is present.
func (m joinGangMessage) Apply(p *anvilplatform.Platform) {
	p.JoinGang(m.body.Gang, m.body.Member, m.body.Members, m.reply)
}

const (
	// joinGangTimeout is the longest wait for the other members of a gang.
	joinGangTimeout = 4 * time.Second
	// joinCallTimeout bounds one call of a member. A reply can be lost, and the member must receive a later one before
	// the work starts, half a second after the last member arrived.
	joinCallTimeout = 200 * time.Millisecond
	// joinRetryInterval is the time before a member repeats a failed call.
	joinRetryInterval = 30 * time.Millisecond
)

func (h *platformHandler) joinGang(w http.ResponseWriter, r *http.Request) {
	var in joinGangBody
	if !readJSON(w, r, &in) {
		return
	}
	m := joinGangMessage{body: in, reply: make(chan anvilclock.Millis, 1)}
	if !h.actor.Send(m) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case at := <-m.reply:
		writeJSON(w, http.StatusOK, gangStartBody{At: int64(at)})
	case <-r.Context().Done():
	case <-time.After(joinGangTimeout):
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// Gangs implements anvilplatformworker.Gangs with calls to the platform.
type Gangs struct {
	platform string
	actor    *anvilactor.Actor[*anvilplatformworker.Worker]
	client   *http.Client
}

// NewGangs returns the Gangs of the worker that actor owns. The platform is an address.
func NewGangs(platform string, actor *anvilactor.Actor[*anvilplatformworker.Worker]) *Gangs {
	return &Gangs{platform: platform, actor: actor, client: &http.Client{}}
}

type beginGangMessage struct {
	task anviljob.TaskID
	run  int
	at   anvilclock.Millis
}

// Apply starts the work of a gang at the agreed time.
func (m beginGangMessage) Apply(w *anvilplatformworker.Worker) {
	w.BeginGang(m.task, m.run, m.at-anvilclock.Millis(time.Now().UnixMilli()))
}

// Join reports to the platform that a member of a gang is present, and repeats the call until a reply contains the
// start time of the work. It returns at once. If no reply comes, the worker ends the run after a timeout.
func (g *Gangs) Join(task anviljob.TaskID, run, members int) {
	go func() {
		body := joinGangBody{Gang: fmt.Sprintf("%s/%d", task.StepID(), run), Member: task.String(), Members: members}
		for begin := time.Now(); time.Since(begin) < joinGangTimeout; time.Sleep(joinRetryInterval) {
			if at, err := g.join(body); err == nil {
				g.actor.Send(beginGangMessage{task: task, run: run, at: at})
				return
			}
		}
	}()
}

func (g *Gangs) join(body joinGangBody) (anvilclock.Millis, error) {
	ctx, cancel := context.WithTimeout(context.Background(), joinCallTimeout)
	defer cancel()
	var out gangStartBody
	err := post(ctx, g.client, g.platform, pathJoinGang, body, &out)
	return anvilclock.Millis(out.At), err
}
