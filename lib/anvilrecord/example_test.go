package anvilrecord_test

import (
	"fmt"

	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilrecord"
)

// A duplicate of an ended request gets the recorded answer and doesn't run again.
func ExampleRecord() {
	const now = 1_700_000_000_000
	r := anvilrecord.New()
	fmt.Println(r.Admit("id", now, "north.cpu.0", now).Kind())
	fmt.Println(r.Admit("id", now, "north.cpu.0", now+5).Kind())
	r.Finish("id", anvilerror.Done, "", []byte("42"), now+9)
	v := r.Admit("id", now, "north.cpu.0", now+20)
	fmt.Println(v.Kind(), v.Outcome(), string(v.Answer()))
	// Output:
	// fresh
	// pending
	// ended done 42
}
