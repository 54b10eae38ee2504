package anviltrial

import (
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilsize"
)

// OperatorKey is the secret of the operator's key in every cell that the harness starts.
const OperatorKey = "anvilload-operator-key"

// spareTeam is the team whose contract only racing operators change, so that a race doesn't change a limit that
// the audit has to know.
const spareTeam = "spare"

// Team is a team of callers with its contract and keys.
type Team struct {
	contract anvilconfig.Contract
	keys     []string
}

// NewTeam returns a team. keys are the secrets of its keys; there must be at least one.
func NewTeam(c anvilconfig.Contract, keys ...string) Team { return Team{contract: c, keys: keys} }

// Name returns the name that the contract gives the team.
func (t Team) Name() string { return t.contract.Team() }

// Contract returns the contract that applies unless a fault has lowered its limit.
func (t Team) Contract() anvilconfig.Contract { return t.contract }

// Keys returns the secrets of the team's keys; the slice is not a copy.
func (t Team) Keys() []string { return t.keys }

// lowered returns the contract with a quarter of its limit.
func (t Team) lowered() anvilconfig.Contract {
	c := t.contract
	return anvilconfig.NewContract(c.Team(), anvilconfig.WithLimit(c.Limit().Ratio(1, 4)),
		anvilconfig.WithWeight(c.Weight()), anvilconfig.WithRate(c.Rate()), anvilconfig.WithMaxInFlight(c.MaxInFlight()))
}

// DemoTeams returns the two teams of the demo. Their keys are fixed, because the cell is reachable on loopback only.
// The randomised run withdraws the second key of each team. The limits are well below the capacity of the fleet, so
// that tasks wait for their team's limit at times although workers have free capacity.
func DemoTeams() []Team {
	return []Team{
		NewTeam(anvilconfig.NewContract("pamoja", anvilconfig.WithLimit(anvilsize.New(32_000, 65_536, 8)), anvilconfig.WithWeight(2)),
			"pamoja-demo-key-1", "pamoja-demo-key-2"),
		NewTeam(anvilconfig.NewContract("swan", anvilconfig.WithLimit(anvilsize.New(20_000, 40_960, 4)), anvilconfig.WithWeight(1)),
			"swan-demo-key-1", "swan-demo-key-2"),
	}
}
