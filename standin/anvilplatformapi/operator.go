package anvilplatformapi

import (
	"context"
	"encoding/json"
	"net/http"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilplatform"
)

const (
	keyConfig   = "config"
	keyEvacuate = "evacuate/"
)

type routeBody struct {
	Name     string          `json:"name"`
	Host     string          `json:"host"`
	Prefix   string          `json:"path_prefix"`
	Service  string          `json:"service"`
	Priority int             `json:"priority"`
	Attempts int             `json:"max_attempts"`
	Stretch  float64         `json:"stretch"`
	Latency  int64           `json:"target_latency_ms"`
	Advice   *adviceCostBody `json:"advice,omitempty"`
}

type adviceCostBody struct {
	Decision float64 `json:"decision_ms"`
	PerItem  float64 `json:"per_item_ms"`
	Validity int64   `json:"validity_ms"`
}

type tenantBody struct {
	Name    string   `json:"name"`
	Keys    []string `json:"api_keys"`
	Weight  float64  `json:"weight"`
	Maximum sizeBody `json:"maximum"`
}

type serviceBody struct {
	Name string `json:"name"`
}

type configBody struct {
	Version  int64         `json:"version"`
	Routes   []routeBody   `json:"routes"`
	Services []serviceBody `json:"services"`
	Tenants  []tenantBody  `json:"tenants"`
	Limits   struct{}      `json:"limits"`
}

// Queue is a queue in a configuration: a route of the users' platform.
type Queue struct {
	body routeBody
}

// NewQueue returns a queue for requests with a host and a path prefix, whose jobs run in a pool. Attempts is the largest
// number of runs of a task. If advised is set, runs start only with a ticket of the advisor.
func NewQueue(name, host, prefix, pool string, priority, attempts int, advised bool) Queue {
	q := Queue{body: routeBody{
		Name: name, Host: host, Prefix: prefix, Service: pool, Priority: priority, Attempts: attempts, Stretch: 2, Latency: 1000,
	}}
	if advised {
		q.body.Advice = &adviceCostBody{
			Decision: float64(decisionTime.Microseconds()) / 1000, PerItem: float64(perWorkerTime.Microseconds()) / 1000,
			Validity: anvilplatform.TicketValidity().Milliseconds(),
		}
	}
	return q
}

// Team is a team in a configuration: a tenant of the users' platform.
type Team struct {
	body tenantBody
}

// NewTeam returns a team whose running tasks may use up to limit, and whose clients present one of the API keys.
func NewTeam(name string, limit anvilsize.Size, keys ...string) Team {
	return Team{body: tenantBody{Name: name, Keys: keys, Weight: 100, Maximum: encodeSize(limit)}}
}

// Operator makes the calls of the platform's operator, and injects faults. It is safe for concurrent use.
type Operator struct {
	platform string
	client   *http.Client
}

// NewOperator returns an operator that calls the platform at an address.
func NewOperator(platform string) *Operator {
	return &Operator{platform: platform, client: &http.Client{Timeout: callTimeout}}
}

// Configure writes a version of the configuration, which replaces the previous one as a whole.
func (o *Operator) Configure(ctx context.Context, version int64, pools []string, queues []Queue, teams []Team) error {
	c := configBody{Version: version}
	for _, q := range queues {
		c.Routes = append(c.Routes, q.body)
	}
	for _, p := range pools {
		c.Services = append(c.Services, serviceBody{Name: p})
	}
	for _, t := range teams {
		c.Tenants = append(c.Tenants, t.body)
	}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return post(ctx, o.client, o.platform, pathOperate, operateBody{Key: keyConfig, Value: value}, nil)
}

// Evacuate requests that no work be sent to the workers of a failure domain, until TakeBack is called.
func (o *Operator) Evacuate(ctx context.Context, domain string) error {
	return post(ctx, o.client, o.platform, pathOperate, operateBody{Key: keyEvacuate + domain, Value: []byte("{}")}, nil)
}

// TakeBack ends the evacuation of a failure domain.
func (o *Operator) TakeBack(ctx context.Context, domain string) error {
	return post(ctx, o.client, o.platform, pathOperate, operateBody{Key: keyEvacuate + domain, Delete: true}, nil)
}

// Inject injects a fault that lasts for d. For strength see anvilplatform.Platform.Inject.
func (o *Operator) Inject(ctx context.Context, kind anvilplatform.FaultKind, d anvilclock.Millis, strength int) error {
	return post(ctx, o.client, o.platform, pathFault, faultBody{Kind: string(kind), Millis: int64(d), Strength: strength}, nil)
}
