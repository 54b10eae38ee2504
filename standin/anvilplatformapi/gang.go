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

type beginBody struct {
	At int64 `json:"at"` // milliseconds since 1970
}

type joinGangMessage struct {
	body  joinGangBody
	reply chan anvilclock.Millis
}

// Apply notes that a member of a gang is present.
func (m joinGangMessage) Apply(s *anvilplatform.Platform) {
	s.JoinGang(m.body.Gang, m.body.Member, m.body.Members, m.reply)
}

const (
	// joinGangTimeout bounds the wait for the other members.
	joinGangTimeout = 4 * time.Second
	// joinTime bounds one question of a member. An answer may be lost, and a member must hear of the beginning before
	// it, which is half a second after the last one came.
	joinTime = 200 * time.Millisecond
	// joinPause is the pause before a member asks the site again.
	joinPause = 30 * time.Millisecond
)

func (s *platform) joinGang(w http.ResponseWriter, r *http.Request) {
	var in joinGangBody
	if !readJSON(w, r, &in) {
		return
	}
	m := joinGangMessage{body: in, reply: make(chan anvilclock.Millis, 1)}
	if !s.actor.Send(m) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case at := <-m.reply:
		writeJSON(w, http.StatusOK, beginBody{At: int64(at)})
	case <-r.Context().Done():
	case <-time.After(joinGangTimeout):
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// Gangs gathers the members of gangs through the site.
type Gangs struct {
	site   string
	actor  *anvilactor.Actor[*anvilplatformworker.Worker]
	client *http.Client
}

// NewGangs returns what gathers the gangs of a worker.
func NewGangs(site string, actor *anvilactor.Actor[*anvilplatformworker.Worker]) *Gangs {
	return &Gangs{site: site, actor: actor, client: &http.Client{}}
}

type presentMessage struct {
	task anviljob.TaskID
	run  int
	at   anvilclock.Millis
}

// Apply begins the work of a gang.
func (m presentMessage) Apply(c *anvilplatformworker.Worker) {
	c.BeginGang(m.task, m.run, m.at-anvilclock.Millis(time.Now().UnixMilli()))
}

// Join tells the site that a member of a gang is present, and asks again until it hears when the work begins. A member
// that hears nothing ends alone.
func (g *Gangs) Join(task anviljob.TaskID, run, members int) {
	go func() {
		body := joinGangBody{Gang: fmt.Sprintf("%s/%d", task.StepName(), run), Member: task.String(), Members: members}
		for begin := time.Now(); time.Since(begin) < joinGangTimeout; time.Sleep(joinPause) {
			if at, err := g.join(body); err == nil {
				g.actor.Send(presentMessage{task: task, run: run, at: at})
				return
			}
		}
	}()
}

func (g *Gangs) join(body joinGangBody) (anvilclock.Millis, error) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTime)
	defer cancel()
	var out beginBody
	err := post(ctx, g.client, g.site, pathJoinGang, body, &out)
	return anvilclock.Millis(out.At), err
}
