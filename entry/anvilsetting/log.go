package anvilsetting

// Log holds the level of the log and the action on violated invariants.
type Log struct {
	level      string
	invariants string
}

// Level returns the lowest level that is logged: debug, info or error.
func (l *Log) Level() string { return l.level }

// ExitOnViolation reports whether the process exits when an invariant is violated. Otherwise the violation is logged
// and counted.
func (l *Log) ExitOnViolation() bool { return l.invariants == "exit" }

func (l *Log) section() section {
	return section{name: "log", doc: "Log, as JSON lines on standard error.", keys: []key{
		optional("level", oneOf(&l.level, "info", "debug", "info", "error"), "Lowest level that is logged; debug has a line for each decision."),
		optional("invariants", oneOf(&l.invariants, "log", "log", "exit"), "Action on a violated invariant: log and count it, or end the program."),
	}}
}
