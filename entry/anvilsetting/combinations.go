package anvilsetting

// checkCombinations reports the settings that are accepted on their own but not together.
func (l *loader) checkCombinations(s *Settings) {
	for _, c := range []struct {
		invalid      bool
		keys         []string
		section, key string
		accepted     string
	}{
		{
			s.ownership.margin*2 > s.ownership.lease, []string{"ownership.margin", "ownership.lease"}, "ownership", "margin",
			"margin must be at most half of lease, or no time is left in which an owner may place tasks",
		}, {
			s.leave.notice > s.leave.drain, []string{"leave.notice", "leave.drain"}, "leave", "notice",
			"notice must be at most drain",
		}, {
			s.limits.maxInFlight > s.limits.connections, []string{"limits.flight", "limits.connections"}, "limits", "flight",
			"flight must be at most connections, because a connection carries one request at a time",
		}, {
			s.listen.front == s.listen.peer, []string{"listen.front", "listen.peer"}, "listen", "peer",
			"the listeners must have different addresses",
		}, {
			s.platform.table == s.listen.front || s.platform.table == s.listen.peer,
			[]string{"platform.table", "listen"}, "platform", "table",
			"the table must not have the address of a listener",
		}, {
			(s.security.cert == "") != (s.security.key == ""), []string{"security.cert", "security.key"}, "security", "cert",
			"cert and key must be set together",
		}, {
			s.security.plain && s.security.cert != "", []string{"security.plain", "security.cert"}, "security", "plain",
			"plain must be false when a certificate is set",
		}, {
			!s.security.plain && (s.security.cert == "" || s.security.ca == ""),
			[]string{"security.plain", "security.cert", "security.ca"}, "security", "plain",
			"cert, key and ca must be set unless plain is true",
		},
	} {
		if c.invalid {
			l.addError(&CombinationError{position: l.src.find(c.section, c.key), keys: c.keys, accepted: c.accepted})
		}
	}
}
