// Package configurer reads a daemon's settings file, which is JSON with
// comments.
package configurer

import (
	"cmp"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/decoder"
	"sassafraspass.dev/sassafraspass/identifier"
)

// AssertionMode determines what happens when an invariant is violated.
type AssertionMode string

// The assertion modes.
const (
	// AssertCount counts and logs the violation.
	AssertCount AssertionMode = "count"
	// AssertFatal also panics. It is meant for tests.
	AssertFatal AssertionMode = "fatal"
)

// EngineChoice determines how the engines of a request are chosen.
type EngineChoice string

// The choices of engines.
const (
	// ChoicePooled takes one speed for all engines, and the pair with the most room.
	ChoicePooled EngineChoice = "pooled"
	// ChoiceBySpeed takes the speed of each engine, and prefers engines that probably
	// have the prompt.
	ChoiceBySpeed EngineChoice = "by-speed"
	// ChoiceAuto is ChoiceBySpeed for services whose routes have different priorities or
	// whose engines have very different speeds, and ChoicePooled for the others.
	ChoiceAuto EngineChoice = "auto"
)

// ZoneSpill determines when requests leave their availability zone.
type ZoneSpill string

// The values of ZoneSpill.
const (
	// SpillOff takes constants for the cost between zones.
	SpillOff ZoneSpill = "off"
	// SpillMeasured compares the measured times in the zones and on the paths.
	SpillMeasured ZoneSpill = "measured"
)

// LimitAccount is the way in which the home of a workspace applies its limit.
type LimitAccount string

// The ways to apply a limit.
const (
	// LimitBucket is a token bucket.
	LimitBucket LimitAccount = "bucket"
	// LimitWindow is a sum over a sliding window, which the other hubs have too.
	LimitWindow LimitAccount = "window"
)

// AdmissionMode determines which daemon chooses the servers of requests to plain
// services.
type AdmissionMode string

// The admission modes. Without one, a service is admitted for the whole fleet if there
// are more daemons than slots of its servers.
const (
	// AdmissionLocal means that each daemon chooses for its own requests.
	AdmissionLocal AdmissionMode = "local"
	// AdmissionFleet means that under contention one daemon chooses for all.
	AdmissionFleet AdmissionMode = "fleet"
)

// Settings holds the settings that a daemon reads when it starts.
type Settings struct {
	// VM is the name under which the platform lists the daemon's VM.
	VM   identifier.VMName   `json:"vm"`
	Zone identifier.ZoneName `json:"zone"`
	// CallerAddress, PeerAddress and OperatorAddress are the addresses to listen on.
	CallerAddress   identifier.Address `json:"callers"`
	PeerAddress     identifier.Address `json:"peers"`
	OperatorAddress identifier.Address `json:"operators"`
	// LogAddress is the address of the platform's log service.
	LogAddress identifier.Address `json:"log"`
	// Seeds are peers to contact while the platform's list of VMs is
	// unavailable.
	Seeds []identifier.Address `json:"seeds"`
	// EntryMaxAge is how long callers may cache a response of /v1/entry.
	EntryMaxAge time.Duration `json:"entry-max-age"`
	// SnapshotInterval is the time between two snapshots of the configuration.
	// It must be much shorter than the log's retention.
	SnapshotInterval time.Duration `json:"snapshot-interval"`
	LogLevel         slog.Level    `json:"log-level"`
	Assertion        AssertionMode `json:"assertion"`
	// Gateway is set for a daemon of package gateway, which forwards requests
	// unchanged, and nil for one of package server.
	Gateway *Gateway `json:"gateway,omitempty"`
}

// Gateway holds the additional settings of a daemon that forwards requests
// unchanged.
type Gateway struct {
	// ReadinessAddress is the address to listen on for the platform's readiness
	// probes, and DirectoryAddress the one for callers that ask which daemons to
	// use.
	ReadinessAddress identifier.Address `json:"readiness"`
	DirectoryAddress identifier.Address `json:"directory"`
	// AdvertisedPeerAddress is the address at which other daemons reach this one.
	// If empty, PeerAddress is advertised.
	AdvertisedPeerAddress identifier.Address `json:"advertised-peers,omitempty"`
	// MemoryMiB is the VM's memory in MiB; zero sets no memory limit.
	MemoryMiB float64 `json:"memory-mib"`
	// CPUCores is the number of CPU cores, possibly fractional, that the VM has.
	CPUCores float64 `json:"cpu-share"`
	// GracePeriod is the time from the signal to stop (SIGTERM) until the
	// platform kills the process; zero means defaultGracePeriod.
	GracePeriod time.Duration `json:"grace"`
	// PlainAdmission is the admission mode of plain services, empty if the size of the
	// fleet determines it.
	PlainAdmission AdmissionMode `json:"plain-admission,omitempty"`
	// RetryRatio and RetryExtra limit the sends to a second upstream within
	// RetryWindow: RetryRatio per request, plus RetryExtra over all daemons
	// together. A window of zero means defaultRetryWindow.
	RetryRatio  float64       `json:"retry-ratio"`
	RetryExtra  float64       `json:"retry-extra"`
	RetryWindow time.Duration `json:"retry-window"`
	// LimitToleranceRatio and LimitToleranceTokens are the excess over a
	// workspace's limit that the deployment tolerates in any LimitToleranceWindow:
	// a fraction of the limit, plus a number of tokens. Zero makes limits strict. A
	// window of zero means defaultLimitWindow.
	LimitToleranceRatio  float64       `json:"limit-overshoot"`
	LimitToleranceTokens float64       `json:"limit-slack-tokens"`
	LimitToleranceWindow time.Duration `json:"limit-window"`
	// LimitAccount selects how the home of a workspace applies its limit. All daemons
	// must have the same value.
	LimitAccount LimitAccount `json:"limit-account"`
	// OrderHandoverWait is how long a daemon that takes over the role changes of
	// engines waits, in addition to rebalancer.MaxSendDelay, before its first
	// order; zero disables role changes.
	OrderHandoverWait time.Duration `json:"order-lease"`
	// EvacuationBound is the time within which nothing may be sent to an evacuated
	// zone any more. A daemon that hears no hub and cannot read the log stops sending
	// before that; zero lets it go on.
	EvacuationBound time.Duration `json:"evacuation-bound"`
	// ColdOvershoot and ColdSlack are what the deployment tolerates of requests to a cold
	// upstream in a second: a multiple of the service's rate, plus a number. Without an
	// overshoot the rates are not applied.
	ColdOvershoot float64 `json:"cold-overshoot"`
	ColdSlack     float64 `json:"cold-slack"`
	// Zones maps the zones to their regions. A zone that is not listed is in no region.
	Zones map[identifier.ZoneName]identifier.RegionName `json:"zones,omitempty"`
	// FileDescriptors is the number of descriptors that the platform grants the VM; zero
	// means the process's own limit. The lower of both counts.
	FileDescriptors float64 `json:"file-descriptors"`
	// MaxHeaderLines is the maximum number of lines of a request's head; zero means
	// a number that no head of 16 KiB reaches.
	MaxHeaderLines int `json:"max-header-lines"`
	// MaxLogLinesPerSecond is the maximum rate of log lines; zero sets no limit.
	MaxLogLinesPerSecond int `json:"log-lines"`
	// EngineChoice determines how the engines of a request are chosen; empty means
	// ChoicePooled.
	EngineChoice EngineChoice `json:"engine-choice"`
	// ZoneSpill determines when requests leave their availability zone; empty means
	// SpillOff. ZoneBytePrice is how many seconds of waiting a megabyte between zones may
	// cost; nil means defaultZoneBytePrice.
	ZoneSpill     ZoneSpill `json:"zone-spill"`
	ZoneBytePrice *float64  `json:"zone-byte-price"`
}

const (
	defaultEntryMaxAge      = 5 * time.Second
	defaultSnapshotInterval = 10 * time.Minute
	maxEntryMaxAge          = 10 * time.Minute

	defaultGracePeriod = 8 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultLimitWindow = 8 * time.Second
	// defaultZoneBytePrice makes 20 kB, a usual request with its response, cost 10 ms, as
	// much as the constants assume for any request between zones.
	defaultZoneBytePrice = 0.5
	maxZoneBytePrice     = 1000
	// Shorter windows are extended to minWindow, and all durations of the gateway are
	// cut to maxGatewayDuration, so that arithmetic with them cannot overflow.
	minWindow          = 100 * time.Millisecond
	maxGatewayDuration = 24 * time.Hour
	maxMemoryMiB       = 1 << 30
)

// Load reads and validates a settings file. Errors in the file's content are of
// type *decoder.FieldError.
func Load(path string) (settings Settings, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse decodes and validates the text of a settings file, applying the
// defaults. The file's name is used in errors, which are of type
// *decoder.FieldError.
func Parse(file string, text []byte) (settings Settings, err error) {
	settings = Settings{
		EntryMaxAge:      defaultEntryMaxAge,
		SnapshotInterval: defaultSnapshotInterval,
		LogLevel:         slog.LevelInfo,
		Assertion:        AssertCount,
	}
	doc, err := decoder.Decode(file, text, &settings)
	if err != nil {
		return settings, err
	}
	err = validate(doc, settings)
	if err == nil && settings.Gateway != nil {
		settings.Gateway.normalize()
	}
	return settings, err
}

// normalize sets defaults and replaces values that are valid but out of the range with
// which the daemon can work.
func (g *Gateway) normalize() {
	g.GracePeriod = min(cmp.Or(g.GracePeriod, defaultGracePeriod), maxGatewayDuration)
	g.RetryWindow = min(max(cmp.Or(g.RetryWindow, defaultRetryWindow), minWindow), maxGatewayDuration)
	g.LimitToleranceWindow = min(max(cmp.Or(g.LimitToleranceWindow, defaultLimitWindow), minWindow), maxGatewayDuration)
	g.EngineChoice = cmp.Or(g.EngineChoice, ChoicePooled)
	g.LimitAccount = cmp.Or(g.LimitAccount, LimitBucket)
	g.ZoneSpill = cmp.Or(g.ZoneSpill, SpillOff)
	if g.ZoneBytePrice == nil {
		g.ZoneBytePrice = new(float64(defaultZoneBytePrice))
	}
	g.OrderHandoverWait = min(g.OrderHandoverWait, maxGatewayDuration)
	g.EvacuationBound = min(g.EvacuationBound, maxGatewayDuration)
	g.MemoryMiB = min(g.MemoryMiB, maxMemoryMiB)
}

func validate(doc *decoder.Document, s Settings) error {
	if s.VM == "" {
		return doc.Errorf("/vm", "must not be empty")
	}
	if s.Zone == "" {
		return doc.Errorf("/zone", "must not be empty")
	}
	addresses := []struct {
		field   string
		address identifier.Address
	}{
		{"/callers", s.CallerAddress},
		{"/peers", s.PeerAddress},
		{"/operators", s.OperatorAddress},
		{"/log", s.LogAddress},
	}
	for _, a := range addresses {
		if !isAddress(a.address) {
			return doc.Errorf(a.field, "must be an IP address with a port, such as \"10.0.0.1:8080\"")
		}
	}
	for i, seed := range s.Seeds {
		if !isAddress(seed) {
			return doc.Errorf(fmt.Sprintf("/seeds/%d", i), "must be an IP address with a port")
		}
	}
	if s.EntryMaxAge < time.Second || s.EntryMaxAge > maxEntryMaxAge {
		return doc.Errorf("/entry-max-age", "must be from %s to %s", time.Second, maxEntryMaxAge)
	}
	if s.SnapshotInterval < time.Second {
		return doc.Errorf("/snapshot-interval", "must be at least %s", time.Second)
	}
	if s.Assertion != AssertCount && s.Assertion != AssertFatal {
		return doc.Errorf("/assertion", "must be %q or %q", AssertCount, AssertFatal)
	}
	if s.Gateway != nil {
		return validateGateway(doc, *s.Gateway)
	}
	return nil
}

func validateGateway(doc *decoder.Document, g Gateway) error {
	switch {
	case !isAddress(g.ReadinessAddress):
		return doc.Errorf("/gateway/readiness", "must be an IP address with a port")
	case !isAddress(g.DirectoryAddress):
		return doc.Errorf("/gateway/directory", "must be an IP address with a port")
	case g.AdvertisedPeerAddress != "" && !isAddress(g.AdvertisedPeerAddress):
		return doc.Errorf("/gateway/advertised-peers", "must be an IP address with a port")
	}
	err := validateModes(doc, g)
	if err != nil {
		return err
	}
	for zone, region := range g.Zones {
		if zone == "" || region == "" {
			return doc.Errorf("/gateway/zones", "must map the name of each zone to that of its region")
		}
	}
	numbers := []struct {
		field string
		value float64
	}{
		{"memory-mib", g.MemoryMiB},
		{"cpu-share", g.CPUCores},
		{"grace", g.GracePeriod.Seconds()},
		{"retry-ratio", g.RetryRatio},
		{"retry-extra", g.RetryExtra},
		{"retry-window", g.RetryWindow.Seconds()},
		{"limit-overshoot", g.LimitToleranceRatio},
		{"limit-slack-tokens", g.LimitToleranceTokens},
		{"limit-window", g.LimitToleranceWindow.Seconds()},
		{"file-descriptors", g.FileDescriptors},
		{"max-header-lines", float64(g.MaxHeaderLines)},
		{"order-lease", g.OrderHandoverWait.Seconds()},
		{"evacuation-bound", g.EvacuationBound.Seconds()},
		{"cold-overshoot", g.ColdOvershoot},
		{"cold-slack", g.ColdSlack},
	}
	for _, number := range numbers {
		if number.value < 0 {
			return doc.Errorf("/gateway/"+number.field, "must not be negative")
		}
	}
	return validateChoices(doc, g)
}

func validateChoices(doc *decoder.Document, g Gateway) error {
	switch {
	case g.LimitAccount != "" && g.LimitAccount != LimitBucket && g.LimitAccount != LimitWindow:
		return doc.Errorf("/gateway/limit-account", "must be %q or %q", LimitBucket, LimitWindow)
	case g.ZoneSpill != "" && g.ZoneSpill != SpillOff && g.ZoneSpill != SpillMeasured:
		return doc.Errorf("/gateway/zone-spill", "must be %q or %q", SpillOff, SpillMeasured)
	case g.ZoneBytePrice != nil && (*g.ZoneBytePrice < 0 || *g.ZoneBytePrice > maxZoneBytePrice):
		return doc.Errorf("/gateway/zone-byte-price", "must be from 0 to %d", maxZoneBytePrice)
	}
	return nil
}

// validateModes checks the settings with two values. An empty one means the default.
func validateModes(doc *decoder.Document, g Gateway) error {
	modes := []struct {
		field   string
		value   string
		allowed []string
	}{
		{"plain-admission", string(g.PlainAdmission), []string{string(AdmissionLocal), string(AdmissionFleet)}},
		{"limit-account", string(g.LimitAccount), []string{string(LimitBucket), string(LimitWindow)}},
		{"engine-choice", string(g.EngineChoice), []string{string(ChoicePooled), string(ChoiceBySpeed), string(ChoiceAuto)}},
	}
	for _, mode := range modes {
		if mode.value != "" && !slices.Contains(mode.allowed, mode.value) {
			return doc.Errorf("/gateway/"+mode.field, "must be one of %q", mode.allowed)
		}
	}
	return nil
}

// isAddress reports whether an address is an IP address with a port. The port 0 lets
// the system choose one.
func isAddress(address identifier.Address) bool {
	_, err := netip.ParseAddrPort(string(address))
	return err == nil
}
