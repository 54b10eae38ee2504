package anvilplatformapi

import (
	"fmt"
	"strings"

	"anvilhold.org/lib/anvilclock"
)

// SettingsVariable names the environment variable that holds the path of an instance's settings file.
const SettingsVariable = "ANVILHOLD_BOOT"

// Names of the commands of the stand-in.
const (
	// SiteCommand runs store, worker list and advisor.
	SiteCommand = "site"
	// WorkerCommand runs a worker.
	WorkerCommand = "minion"
)

// Settings are the settings that the platform gives to an entry instance.
type Settings struct {
	name, ip, domain, region string
	site, advisor            string
	ports                    int
	share                    float64
}

// NewSettings returns the settings of an instance at an address. It takes six ports from the first one on:
// callers, readiness, and four of its own. Share is the part of a core that it may use.
func NewSettings(name, ip, domain, region, site, advisor string, ports int, share float64) Settings {
	return Settings{name: name, ip: ip, domain: domain, region: region, site: site, advisor: advisor, ports: ports, share: share}
}

// Callers returns the address for callers.
func (s Settings) Callers() string { return fmt.Sprintf("%s:%d", s.ip, s.ports) }

// Ready returns the address for the balancer.
func (s Settings) Ready() string { return fmt.Sprintf("%s:%d", s.ip, s.ports+1) }

// Metrics returns the address of the metrics page.
func (s Settings) Metrics() string { return fmt.Sprintf("%s:%d", s.ip, s.ports+3) }

// Bounds of the stand-in that the settings tell.
const (
	// LeaseMost is the longest that runs may be held.
	LeaseMost = anvilclock.Millis(10_000)
	// StopGrace is the longest that a stop takes.
	StopGrace = anvilclock.Millis(900)
	// Grace is the time from SIGTERM to SIGKILL.
	Grace = anvilclock.Millis(6000)
	// DrainTime is how long a worker that leaves serves at least.
	DrainTime = anvilclock.Millis(2500)
	// HeartbeatInterval is the pause between two reports of a worker.
	HeartbeatInterval = anvilclock.Millis(500)
)

// Text returns the settings file.
func (s Settings) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nip = %q\nzone = %q\nregion = %q\ninternal_port_range = [%d, %d]\n", s.name, s.ip, s.domain,
		s.region, s.ports+2, s.ports+5)
	fmt.Fprintf(&b, "heartbeat_interval_ms = %d\norders = \"invocation\"\nadvice = %q\n", HeartbeatInterval, s.advisor)
	fmt.Fprintf(&b, "[listen]\nfrontend = %q\nready = %q\n", s.Callers(), s.Ready())
	fmt.Fprintf(&b, "[limits]\ncpu_share = %g\ncores = 1\nmemory_mb = 512\nfile_descriptors = 4096\n", s.share)
	fmt.Fprintf(&b, "[bounds]\ngrace_s = %d\nmax_hold_ms = %d\nstop_grace_ms = %d\n", Grace/1000, LeaseMost, StopGrace)
	fmt.Fprintf(&b, "[platform]\naddress = %q\n", s.site)
	return b.String()
}
