package anvilplatformapi

import (
	"context"
	"encoding/json"
	"net/http"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilplatform"
)

const keyConfig = "config"

type routeBody struct {
	Name     string     `json:"name"`
	Host     string     `json:"host"`
	Prefix   string     `json:"path_prefix"`
	Service  string     `json:"service"`
	Priority int        `json:"priority"`
	Attempts int        `json:"max_attempts"`
	Stretch  float64    `json:"stretch"`
	Latency  int64      `json:"target_latency_ms"`
	Advice   *priceBody `json:"advice,omitempty"`
}

type priceBody struct {
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

// Queue is a queue of a configuration.
type Queue struct {
	body routeBody
}

// NewQueue returns a queue of a pool whose starts need the advisor's tickets if it is advised.
func NewQueue(name, host, prefix, pool string, priority, attempts int, advised bool) Queue {
	q := Queue{body: routeBody{
		Name: name, Host: host, Prefix: prefix, Service: pool, Priority: priority, Attempts: attempts, Stretch: 2, Latency: 1000,
	}}
	if advised {
		q.body.Advice = &priceBody{
			Decision: float64(decisionTime.Microseconds()) / 1000, PerItem: float64(itemTime.Microseconds()) / 1000,
			Validity: anvilplatform.TicketTime().Milliseconds(),
		}
	}
	return q
}

// Team is a team of a configuration.
type Team struct {
	body tenantBody
}

// NewTeam returns a team that may have limit running.
func NewTeam(name string, limit anvilsize.Size, keys ...string) Team {
	return Team{body: tenantBody{Name: name, Keys: keys, Weight: 100, Maximum: encodeSize(limit)}}
}

// Operator writes configurations and sets faults.
type Operator struct {
	site   string
	client *http.Client
}

// NewOperator returns an operator of a site.
func NewOperator(site string) *Operator {
	return &Operator{site: site, client: &http.Client{Timeout: callTimeout}}
}

// Configure writes a version of the configuration.
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
	return post(ctx, o.client, o.site, pathOperate, operateBody{Key: keyConfig, Value: value}, nil)
}

// Inject begins a fault of the store.
func (o *Operator) Inject(ctx context.Context, t anvilplatform.FaultKind, d anvilclock.Millis, figure int) error {
	return post(ctx, o.client, o.site, pathFault, faultBody{Trouble: string(t), Millis: int64(d), Figure: figure}, nil)
}
