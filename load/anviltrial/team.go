package anviltrial

import (
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilsize"
)

// OperatorKey is the operator's key in every cell that the harness starts.
const OperatorKey = "anvilload-operator-key"

// spareTeam has a contract that only racing operators change, so that a race doesn't change a limit
// that the audit has to know.
const spareTeam = "spare"

// Team is a team with its contract and keys.
type Team struct {
	contract anvilconfig.Contract
	keys     []string
}

// NewTeam returns a team.
func NewTeam(c anvilconfig.Contract, keys ...string) Team { return Team{contract: c, keys: keys} }

// Name returns the team's name.
func (t Team) Name() string { return t.contract.Team() }

// Contract returns the contract.
func (t Team) Contract() anvilconfig.Contract { return t.contract }

// Keys returns the team's keys.
func (t Team) Keys() []string { return t.keys }

// lowered returns the contract with a quarter of its limit.
func (t Team) lowered() anvilconfig.Contract {
	c := t.contract
	return anvilconfig.NewContract(c.Team(), anvilconfig.WithLimit(c.Limit().Ratio(1, 4)),
		anvilconfig.WithWeight(c.Weight()), anvilconfig.WithRate(c.Rate()), anvilconfig.WithMaxInFlight(c.MaxInFlight()))
}

// DemoTeams returns the two teams of the demo. Their keys are fixed, because the cell lives on
// loopback only. The second key of each is the one that the randomised run withdraws. The limits are
// well below the fleet, so that the limits and not the workers bind at times.
func DemoTeams() []Team {
	return []Team{
		NewTeam(anvilconfig.NewContract("pamoja", anvilconfig.WithLimit(anvilsize.New(32_000, 65_536, 8)), anvilconfig.WithWeight(2)),
			"pamoja-demo-key-1", "pamoja-demo-key-2"),
		NewTeam(anvilconfig.NewContract("swan", anvilconfig.WithLimit(anvilsize.New(20_000, 40_960, 4)), anvilconfig.WithWeight(1)),
			"swan-demo-key-1", "swan-demo-key-2"),
	}
}
