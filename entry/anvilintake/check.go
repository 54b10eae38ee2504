package anvilintake

// Check returns Answered if a call names a queue that its key may use, and otherwise the reply that rejects the call. It
// changes nothing and doesn't block.
func (in *Intake) Check(c Call) Reply {
	if _, rejection := in.admit(c); rejection != nil {
		return *rejection
	}
	return Reply{result: Answered}
}

// Stored reports whether the job that a call names is known here to be stored. It doesn't block.
func (in *Intake) Stored(c Call) bool {
	a, rejection := in.admit(c)
	if rejection != nil || a.id == "" {
		return false
	}
	_, ok := in.control.Directory().Find(a.id)
	return ok
}
