package anvilintake

// Check returns Answered if a call names a queue that its key may use, and otherwise the reply that rejects the call. It
// changes nothing and doesn't block.
func (in *Intake) Check(c Call) Reply {
	if _, rejection := in.admit(c); rejection != nil {
		return *rejection
	}
	return Reply{result: Answered}
}
