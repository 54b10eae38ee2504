package anvilsetting

import "anvilhold.org/lib/anvilclock"

// Leave holds the settings of a planned stop.
type Leave struct {
	notice int64
	drain  int64
}

// Notice returns how long the instance reports to health checks that it is leaving, before it closes its listeners.
func (l *Leave) Notice() anvilclock.Millis { return anvilclock.Millis(l.notice) }

// Drain returns the time in which accepted requests must end at a planned stop.
func (l *Leave) Drain() anvilclock.Millis { return anvilclock.Millis(l.drain) }

func (l *Leave) section() section {
	return section{name: "leave", doc: "Planned stop (SIGTERM).", keys: []key{
		optional("notice", intValue{&l.notice, "ms", 2000, 0, 60000}, "Time for which health checks report that the instance is leaving, before the listeners close."),
		optional("drain", intValue{&l.drain, "ms", 30000, 100, 600000}, "Time in which accepted requests must end; if they don't, the program exits with status 1."),
	}}
}
