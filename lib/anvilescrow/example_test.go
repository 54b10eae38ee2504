package anvilescrow_test

import (
	"fmt"

	"anvilhold.org/lib/anvilescrow"
	"anvilhold.org/lib/anvilsize"
)

// A shard gets an allocation of the team's limit before it starts work of the team.
func ExampleLedger() {
	l := anvilescrow.NewLedger()
	l.SetShards([]string{"north.cpu.0", "north.cpu.1"})
	l.SetTeam("maps", anvilsize.New(8000, 4096, 0), 7)
	l.AddShard("north.cpu.0")

	for _, tr := range l.Plan(0) {
		fmt.Println(tr.Team(), "from row", tr.RowVersion(), "contract", tr.ContractRowVersion(), "allocates", tr.Allocations()["north.cpu.0"])
		l.Committed(tr.ID(), 12) // the table's answer
	}
	a := l.Account("north.cpu.0", "maps")
	fmt.Println(a.Reserve(anvilsize.New(1500, 512, 0)), a.Available())
	fmt.Println(a.Reserve(anvilsize.New(1500, 512, 0)))
	// Output:
	// maps from row 0 contract 7 allocates 2000m,1024,0
	// true 500m,512,0
	// false
}
