package anvilstorage

import (
	"encoding/json"
	"fmt"
)

// LeadershipKey is the key of the only row of the leaderships table.
const LeadershipKey = "fleet"

// Leadership tells which instance schedules. Every commit of the leader raises its count, so the row also
// shows that the leader is alive, and which of its commits was applied last.
type Leadership struct {
	leader string
	addr   string
	token  int64
	count  int64
}

// NewLeadership returns a leadership; an empty leader says that it was given up.
func NewLeadership(leader, addr string, token, count int64) Leadership {
	return Leadership{leader: leader, addr: addr, token: token, count: count}
}

// Leader returns the instance that schedules; empty when the leadership was given up.
func (t Leadership) Leader() string { return t.leader }

// Addr returns the address of the leader for other instances.
func (t Leadership) Addr() string { return t.addr }

// Token returns the fencing token of the leader's orders.
func (t Leadership) Token() int64 { return t.token }

// Count returns the number of commits under the token.
func (t Leadership) Count() int64 { return t.count }

type leadershipRow struct {
	Leader string `json:"holder"`
	Addr   string `json:"addr"`
	Token  int64  `json:"token"`
	Count  int64  `json:"count"`
}

// LeadershipRow returns the row of a leadership.
func LeadershipRow(t Leadership) (Row, error) {
	value, err := json.Marshal(leadershipRow{Leader: t.leader, Addr: t.addr, Token: t.token, Count: t.count})
	if err != nil {
		return Row{}, fmt.Errorf("tenure: %w", err)
	}
	return NewRow(Leaderships, LeadershipKey, value), nil
}

// ParseLeadership reads the row of a leadership.
func ParseLeadership(r Row) (Leadership, error) {
	var in leadershipRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return Leadership{}, fmt.Errorf("tenure: %w", err)
	}
	return NewLeadership(in.Leader, in.Addr, in.Token, in.Count), nil
}

// Instance is an entry instance that others can ask for advice.
type Instance struct {
	name     string
	addr     string
	domain   string
	milliCPU int64
}

// NewInstance returns an instance with its address for other instances, its failure domain and its
// processor in millicores; 0 when that is not known.
func NewInstance(name, addr, domain string, milliCPU int64) Instance {
	return Instance{name: name, addr: addr, domain: domain, milliCPU: milliCPU}
}

// Name returns the name.
func (i Instance) Name() string { return i.name }

// Addr returns the address for other instances.
func (i Instance) Addr() string { return i.addr }

// Domain returns the failure domain.
func (i Instance) Domain() string { return i.domain }

// MilliCPU returns the instance's processor in millicores; 0 when that is not known.
func (i Instance) MilliCPU() int64 { return i.milliCPU }

type instanceRow struct {
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Power  int64  `json:"power,omitempty"`
}

// InstanceRow returns the row of an instance.
func InstanceRow(i Instance) (Row, error) {
	value, err := json.Marshal(instanceRow{Addr: i.addr, Domain: i.domain, Power: i.milliCPU})
	if err != nil {
		return Row{}, fmt.Errorf("instance %s: %w", i.name, err)
	}
	return NewRow(Instances, i.name, value), nil
}

// ParseInstance reads the row of an instance.
func ParseInstance(r Row) (Instance, error) {
	var in instanceRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return Instance{}, fmt.Errorf("instance %s: %w", r.key, err)
	}
	return NewInstance(r.key, in.Addr, in.Domain, in.Power), nil
}
