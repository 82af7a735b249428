// Package selector selects the daemons that the callers of a workspace should use.
package selector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// MinDaemons is the minimum number of daemons selected for a workspace, so that
	// the workspace survives the loss of one.
	MinDaemons = 3
	// TokensPerDaemon is the rate, in tokens per second, for which one daemon is
	// selected.
	TokensPerDaemon = 20_000
)

// Daemon is a daemon that can be selected, with its VM.
type Daemon struct {
	Incarnation   identifier.Incarnation
	VM            identifier.VMName
	Zone          identifier.ZoneName
	CallerAddress identifier.Address
}

// Entry is the response of /v1/entry.
type Entry struct {
	Addresses []identifier.Address `json:"addresses"`
	// MaxAgeSeconds is how long callers may cache the response.
	MaxAgeSeconds int `json:"max-age-seconds"`
	// Current is false if the responding daemon cannot confirm that its state is
	// current, for example because it is cut off from the other daemons.
	Current bool `json:"current"`
}

// SelectAddresses returns the caller addresses of a workspace's daemons, the
// preferred one first. Daemons are ranked by rendezvous hashing of their VMs, so
// that the loss of a VM moves only the workspaces that used it, and are spread
// over the zones. Their number grows with the workspace's rate.
func SelectAddresses(workspace parser.Workspace, daemons []Daemon) []identifier.Address {
	wanted := max(MinDaemons, int((workspace.Rate+TokensPerDaemon-1)/TokensPerDaemon))
	ranked := slices.Clone(daemons)
	slices.SortFunc(ranked, func(a, b Daemon) int {
		if rendezvousHash(workspace.Name, a.VM) < rendezvousHash(workspace.Name, b.VM) {
			return -1
		}
		return 1
	})
	var addresses []identifier.Address
	for len(ranked) > 0 && len(addresses) < wanted {
		ranked = takeOnePerZone(ranked, wanted, &addresses)
	}
	return addresses
}

// takeOnePerZone appends the address of the highest-ranked daemon of each zone,
// until the wanted number is reached. It returns the other daemons.
func takeOnePerZone(ranked []Daemon, wanted int, addresses *[]identifier.Address) (rest []Daemon) {
	zones := make(map[identifier.ZoneName]bool)
	for _, d := range ranked {
		if zones[d.Zone] || len(*addresses) >= wanted {
			rest = append(rest, d)
			continue
		}
		zones[d.Zone] = true
		*addresses = append(*addresses, d.CallerAddress)
	}
	return rest
}

// rendezvousHash returns the hash by which daemons are ranked for a workspace,
// the lowest first.
func rendezvousHash(workspace identifier.WorkspaceName, vm identifier.VMName) uint64 {
	return xxhash.Sum64String(string(workspace) + "/" + string(vm))
}

// WholeSeconds converts a duration to whole seconds, rounding down.
func WholeSeconds(d time.Duration) int {
	return int(d / time.Second)
}
