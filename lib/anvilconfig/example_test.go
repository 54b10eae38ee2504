package anvilconfig_test

import (
	"fmt"

	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilsize"
)

// A revoked key stays revoked when an older read is applied after the revocation.
func ExampleStore() {
	key := anvilconfig.NewKey(anvilconfig.HashKey("secret"), "maps", anvilconfig.TeamRole, "")
	old := []anvilconfig.Entry{
		anvilconfig.ContractEntry("config/contract/maps", 1, anvilconfig.NewContract("maps", anvilconfig.WithLimit(anvilsize.New(4000, 0, 0)))),
		anvilconfig.KeyEntry("config/key/1", 2, key),
	}
	s := anvilconfig.NewStore()
	s.Apply(1, old)
	_, ok := s.Snapshot().Authenticate("secret")
	fmt.Println(s.Snapshot().Version(), ok)

	s.Apply(2, []anvilconfig.Entry{anvilconfig.DeletedEntry("config/key/1", 3)})
	s.Apply(1, old)
	_, ok = s.Snapshot().Authenticate("secret")
	fmt.Println(s.Snapshot().Version(), ok)
	// Output:
	// 1 true
	// 2 false
}

// Without the table an instance trusts its configuration only while every peer answers that it doesn't
// reach the table either.
func ExampleConfirmation() {
	c := anvilconfig.NewConfirmation()
	peers := []string{"b"}
	c.Confirmed(0)
	fmt.Println(c.Status(1000, peers))
	c.TableFailed(1000)
	fmt.Println(c.Status(3500, peers))
	c.PeerTableFailed("b", 3600)
	fmt.Println(c.Status(3700, peers))
	// Output:
	// current
	// unconfirmed
	// outage
}
