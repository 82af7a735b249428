package gateway

import (
	"errors"

	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/request/budgeter"
)

// errNotGateway means that the settings are for another kind of daemon.
var errNotGateway = errors.New("the settings have no gateway part")

// errNeedsRestart means that a changed setting requires a restart of the daemon.
var errNeedsRestart = errors.New("the VM name, its zone and its addresses cannot change without a restart")

// Reload applies changed settings: the retry bounds and the tolerance of limits at
// once, and every setting that is looked up when it is needed, such as the grace
// period and the order lease, from then on. Settings that are read only at startup,
// such as the CPU cores and the log level, keep their old values. Reload returns an
// error and applies nothing if the VM, the zone, a listen address or the log's
// address changed, or if the settings have no gateway part.
func (g *Gateway) Reload(settings configurer.Settings) error {
	if settings.Gateway == nil {
		return errNotGateway
	}
	old := g.currentSettings()
	hasSameIdentity := settings.VM == old.VM && settings.Zone == old.Zone && settings.CallerAddress == old.CallerAddress &&
		settings.PeerAddress == old.PeerAddress && settings.OperatorAddress == old.OperatorAddress && settings.LogAddress == old.LogAddress &&
		settings.Gateway.ReadinessAddress == old.Gateway.ReadinessAddress && settings.Gateway.DirectoryAddress == old.Gateway.DirectoryAddress
	if !hasSameIdentity {
		return errNeedsRestart
	}
	g.settings.Store(&settings)
	g.retryBudget.SetBounds(retryBounds(*settings.Gateway))
	g.configureLimits(g.Follower.Version().Workspaces)
	return nil
}

// currentSettings returns the settings that were loaded last.
func (g *Gateway) currentSettings() configurer.Settings {
	return *g.settings.Load()
}

func retryBounds(s configurer.Gateway) budgeter.Bounds {
	return budgeter.Bounds{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow}
}
