// Package anvilshare tracks what teams and their workspaces use, and orders them by weighted dominant share:
// dominant resource fairness (Ghodsi et al., NSDI 2011), by team and then by workspace. Other teams may use the
// unused share of a team, because the order only affects teams with waiting tasks.
package anvilshare

import (
	"anvilhold.org/lib/anvilsize"
)

// ppm converts a share to parts per million, the unit of Share, WorkspaceShare and Ideal.
const ppm = 1_000_000

// account is the use of a team or a workspace. The share is a floating-point number because one small task is
// less than a millionth of a large fleet.
type account struct {
	used   anvilsize.Size
	share  float64
	weight int64
}

func (a *account) update(total anvilsize.Size) { a.share = dominant(a.used, total) }

func (a *account) weighted() float64 { return a.share / float64(a.weight) }

func dominant(s, total anvilsize.Size) float64 {
	share := 0.0
	for _, d := range anvilsize.Dimensions() {
		if total.In(d) > 0 {
			share = max(share, float64(s.In(d))/float64(total.In(d)))
		}
	}
	return share
}

type team struct {
	account
	workspaces map[string]*account
}

// Tree holds the use of all teams and their workspaces. It is not safe for concurrent use.
type Tree struct {
	total anvilsize.Size
	teams map[string]*team
}

// New returns a tree without teams. All shares are 0 until SetTotal is called.
func New() *Tree { return &Tree{teams: map[string]*team{}} }

// SetTotal sets the size of the fleet, of which shares are fractions.
func (t *Tree) SetTotal(s anvilsize.Size) {
	if s == t.total {
		return
	}
	t.total = s
	for _, tm := range t.teams {
		tm.update(s)
		for _, ws := range tm.workspaces {
			ws.update(s)
		}
	}
}

// SetWeight sets the weight of a team; a weight below 1 counts as 1. Teams without a weight have weight 1.
func (t *Tree) SetWeight(team string, weight int64) { t.team(team).weight = max(weight, 1) }

// ResetWeight sets the weight of a team back to 1. The tree forgets the team when it uses nothing.
func (t *Tree) ResetWeight(team string) {
	tm := t.teams[team]
	if tm == nil {
		return
	}
	tm.weight = 1
	t.prune(team)
}

// Charge adds s to the use of the team and of its workspace.
func (t *Tree) Charge(team, workspace string, s anvilsize.Size) {
	tm := t.team(team)
	ws := tm.workspaces[workspace]
	if ws == nil {
		ws = &account{weight: 1}
		tm.workspaces[workspace] = ws
	}
	for _, a := range []*account{&tm.account, ws} {
		a.used = a.used.Add(s)
		a.update(t.total)
	}
}

// Refund subtracts s from the use of the team and of its workspace. A use never becomes negative.
func (t *Tree) Refund(team, workspace string, s anvilsize.Size) {
	tm := t.teams[team]
	if tm == nil {
		return
	}
	tm.used = tm.used.Sub(s).Max(anvilsize.Size{})
	tm.update(t.total)
	if ws := tm.workspaces[workspace]; ws != nil {
		ws.used = ws.used.Sub(s).Max(anvilsize.Size{})
		ws.update(t.total)
		if ws.used.IsZero() {
			delete(tm.workspaces, workspace)
		}
	}
	t.prune(team)
}

// Used returns what a team uses; zero for an unknown team.
func (t *Tree) Used(team string) anvilsize.Size {
	if tm := t.teams[team]; tm != nil {
		return tm.used
	}
	return anvilsize.Size{}
}

// Share returns a team's dominant share of the total, not divided by its weight, in parts per million.
func (t *Tree) Share(team string) int64 {
	if tm := t.teams[team]; tm != nil {
		return int64(tm.share * ppm)
	}
	return 0
}

// WorkspaceShare returns a workspace's dominant share of the total, in parts per million.
func (t *Tree) WorkspaceShare(team, workspace string) int64 {
	if ws := t.workspace(team, workspace); ws != nil {
		return int64(ws.share * ppm)
	}
	return 0
}

// Less reports whether team is served before other: its weighted share is smaller.
func (t *Tree) Less(team, other string) bool { return t.WeightedShare(team) < t.WeightedShare(other) }

// LessWorkspace reports whether workspace is served before another one of the same team.
func (t *Tree) LessWorkspace(team, workspace, other string) bool {
	return t.WeightedWorkspaceShare(team, workspace) < t.WeightedWorkspaceShare(team, other)
}

// WeightedShare returns a team's dominant share, as a fraction of the total, divided by its weight.
func (t *Tree) WeightedShare(team string) float64 {
	if tm := t.teams[team]; tm != nil {
		return tm.weighted()
	}
	return 0
}

// WeightedWorkspaceShare returns a workspace's dominant share as a fraction of the total. All workspaces have
// weight 1.
func (t *Tree) WeightedWorkspaceShare(team, workspace string) float64 {
	if ws := t.workspace(team, workspace); ws != nil {
		return ws.weighted()
	}
	return 0
}

func (t *Tree) weight(team string) int64 {
	if tm := t.teams[team]; tm != nil {
		return tm.weight
	}
	return 1
}

func (t *Tree) workspace(team, workspace string) *account {
	if tm := t.teams[team]; tm != nil {
		return tm.workspaces[workspace]
	}
	return nil
}

func (t *Tree) team(name string) *team {
	tm := t.teams[name]
	if tm == nil {
		tm = &team{account: account{weight: 1}, workspaces: map[string]*account{}}
		t.teams[name] = tm
	}
	return tm
}

// prune removes a team that uses nothing and has the default weight, so that the tree doesn't grow with teams
// that no longer exist.
func (t *Tree) prune(name string) {
	if tm := t.teams[name]; tm.weight == 1 && tm.used.IsZero() {
		delete(t.teams, name)
	}
}
