package anvilplatformapi

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
)

// SettingsVariable is the environment variable with the path of an entry instance's settings file.
const SettingsVariable = "ANVILHOLD_BOOT"

// Subcommands of the stand-in.
const (
	// PlatformCommand runs the platform: store, worker registry and advisor.
	PlatformCommand = "site"
	// WorkerCommand runs one worker of the platform.
	WorkerCommand = "minion"
)

// Settings are the boot settings that the platform gives to an entry instance.
type Settings struct {
	name, ip, domain, region string
	platform, advisor        string
	firstPort                int
	cpuShare                 float64
	maxLease, stopGrace      anvilclock.Millis
	regions                  map[string]string
}

// SettingsOption sets an optional property of Settings.
type SettingsOption func(*Settings)

// WithRunBounds sets the longest lease of a worker's runs and the longest time from a stop order to the end of the run. The
// defaults are MaxLease and StopGrace.
func WithRunBounds(maxLease, stopGrace anvilclock.Millis) SettingsOption {
	return func(s *Settings) { s.maxLease, s.stopGrace = maxLease, stopGrace }
}

// WithRegions sets the regions of the failure domains. By default the settings don't list them.
func WithRegions(regions map[string]string) SettingsOption {
	return func(s *Settings) { s.regions = regions }
}

// NewSettings returns the settings of an instance at an address. The instance uses six consecutive ports from firstPort:
// one for callers, one for readiness and four internal ones. The platform and the advisor are addresses, and cpuShare is
// the fraction of a core that the instance may use.
func NewSettings(name, ip, domain, region, platform, advisor string, firstPort int, cpuShare float64, opts ...SettingsOption) Settings {
	s := Settings{
		name: name, ip: ip, domain: domain, region: region, platform: platform, advisor: advisor, firstPort: firstPort, cpuShare: cpuShare,
		maxLease: MaxLease, stopGrace: StopGrace,
	}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// CallerAddr returns the address for the requests of callers.
func (s Settings) CallerAddr() string { return fmt.Sprintf("%s:%d", s.ip, s.firstPort) }

// ReadyAddr returns the address of the readiness check, which the load balancer calls.
func (s Settings) ReadyAddr() string { return fmt.Sprintf("%s:%d", s.ip, s.firstPort+1) }

// MetricsAddr returns the address of the metrics page.
func (s Settings) MetricsAddr() string { return fmt.Sprintf("%s:%d", s.ip, s.firstPort+3) }

// Bounds of the platform that entry instances read from their settings, and intervals of its workers.
const (
	// MaxLease is the longest lease of a worker's runs.
	MaxLease = anvilclock.Millis(10_000)
	// StopGrace is the longest time from a stop order to the end of the run.
	StopGrace = anvilclock.Millis(900)
	// EvacuationBound is how long after a request for it work may still start in an evacuated failure domain.
	EvacuationBound = anvilclock.Millis(5000)
	// ShutdownGrace is the time from SIGTERM to SIGKILL.
	ShutdownGrace = anvilclock.Millis(6000)
	// DrainTime is the minimum time for which a draining worker still serves.
	DrainTime = anvilclock.Millis(2500)
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval = anvilclock.Millis(500)
)

// Text returns the content of the settings file.
func (s Settings) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nip = %q\nzone = %q\nregion = %q\ninternal_port_range = [%d, %d]\n", s.name, s.ip, s.domain,
		s.region, s.firstPort+2, s.firstPort+5)
	fmt.Fprintf(&b, "heartbeat_interval_ms = %d\norders = \"invocation\"\nadvice = %q\n", HeartbeatInterval, s.advisor)
	fmt.Fprintf(&b, "[listen]\nfrontend = %q\nready = %q\n", s.CallerAddr(), s.ReadyAddr())
	fmt.Fprintf(&b, "[limits]\ncpu_share = %g\ncores = 1\nmemory_mb = 512\nfile_descriptors = 4096\n", s.cpuShare)
	fmt.Fprintf(&b, "[bounds]\ngrace_s = %d\nmax_hold_ms = %d\nstop_grace_ms = %d\nevacuation_ms = %d\n", ShutdownGrace/1000, s.maxLease, s.stopGrace,
		EvacuationBound)
	fmt.Fprintf(&b, "[platform]\naddress = %q\n", s.platform)
	if len(s.regions) > 0 {
		b.WriteString("[zones]\n")
	}
	for _, domain := range slices.Sorted(maps.Keys(s.regions)) {
		fmt.Fprintf(&b, "%s = %q\n", domain, s.regions[domain])
	}
	return b.String()
}
