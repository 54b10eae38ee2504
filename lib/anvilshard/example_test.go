package anvilshard_test

import (
	"fmt"

	"anvilhold.org/lib/anvilshard"
)

// A shard is claimed when its owner's session has expired.
func ExampleDirectory() {
	d := anvilshard.NewDirectory("a", "north", "east")
	shard := anvilshard.NewShard("north.cpu.0", "north", "east", "cpu", 0)
	d.PutShard(shard.WithOwner("b", 3, 17))
	for _, name := range []string{"a", "b"} {
		d.PutSession(anvilshard.NewSession(name, "", "north", "east", 1, 0, false), 0)
	}
	fmt.Println("at the start:", len(d.Claims(0)))

	now := anvilshard.Expiry + anvilshard.Jitter
	d.PutSession(anvilshard.NewSession("a", "", "north", "east", 2, 0, false), now)
	for _, s := range d.Claims(now) {
		fmt.Println("claim", s.Name(), "at epoch", s.Epoch()+1, "if the row has version", s.RowVersion())
	}
	// Output:
	// at the start: 0
	// claim north.cpu.0 at epoch 4 if the row has version 17
}
