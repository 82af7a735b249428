package gateway

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/request/accountant"
	"sassafraspass.dev/sassafraspass/request/apportioner"
	"sassafraspass.dev/sassafraspass/request/reserver"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// Epoch.RankedMembers ranks the members for each workspace. The first one is the
// workspace's home, which holds its limit, and the second one is its deputy. Package
// apportioner divides the deployment's tolerance among them and the other daemons.

// leaseWindow is how long the holder of a limit admits requests after it sent the last
// heartbeat that a majority answered. The others heard it then or later, and replace it
// after memberSilenceTimeout, which is longer. As heartbeats are 400 ms apart, an answer
// may take 1.2 s.
const leaseWindow = 1600 * time.Millisecond

// unconfirmedPart is the part of the tolerance, within apportioner.HomePart, that a home
// admits before the other hubs have its account. A larger one means fewer requests that
// wait for them; the rest of HomePart makes up for what a successor assumes.
const unconfirmedPart = 0.2

// wireLimiter connects the limiter, which holds the limits of this daemon as home.
func (g *Gateway) wireLimiter(deps fleet.Dependencies) {
	g.apportioner = apportioner.New(deps.Clock, g.Identity.Self, g.currentSettings().Gateway.LimitToleranceWindow)
	g.wireAccountant(deps)
	g.OnEpoch = func(epoch epochtracker.Epoch) {
		g.apportioner.EnterEpoch(epoch)
		g.accountant.EnterEpoch(epoch)
	}
	g.Limiter.IsCurrent = func() bool { return g.Confirmer.IsCurrent() && g.HasMajorityLease(leaseWindow) }
	// A new home starts with what it may admit as deputy, and then admits nothing more
	// as deputy. What it starts with thus does not add up over successive homes.
	g.Limiter.InitialTokens = func(name identifier.WorkspaceName) float64 {
		if g.keepsAccounts() {
			return 0
		}
		return float64(g.reserver.TakeTolerance(name))
	}
}

func (g *Gateway) wireAccountant(deps fleet.Dependencies) {
	g.accountant = accountant.New(deps.Clock, g.Identity.Self.Incarnation, g.currentSettings().Gateway.LimitToleranceWindow, leaseWindow)
	g.accountant.HoldsLimit = g.Limiter.HoldsWholeLimit
	g.accountant.Replicate = g.Heartbeater.FlushNow
	g.accountant.OnBegin = func(hasCopies bool) {
		deps.Meter.CountEvent(meter.EventAccountTakeover)
		if !hasCopies {
			deps.Meter.CountEvent(meter.EventAccountUnknown)
		}
	}
	g.accountant.OnUnconfirmed = func() { deps.Meter.CountEvent(meter.EventAccountUnconfirmed) }
	g.accountant.Log = logger.For(deps.Log, logger.Shares)
	// A daemon with token buckets keeps copies for the others too, so that the setting can
	// be changed at one daemon after the other.
	g.OnRequest = func(heartbeat heartbeater.Heartbeat) {
		g.accountant.Adopt(heartbeat.Incarnation, heartbeat.Epoch, heartbeat.LimitAccounts, heartbeat.Drained)
	}
	g.Heartbeater.OnExchanged = func(sent, response heartbeater.Heartbeat) {
		g.accountant.Confirm(response.Incarnation, sent.Epoch, response.Epoch, sent.LimitAccounts)
	}
}

// keepsAccounts reports whether limits are applied as accounts. It does not change while
// the daemon runs.
func (g *Gateway) keepsAccounts() bool {
	return g.limitAccount == configurer.LimitWindow
}

// limitEpoch states the epoch of the accounts in a heartbeat, because the receiver relies
// on what the epoch says about them.
func (g *Gateway) limitEpoch(heartbeat *heartbeater.Heartbeat) {
	heartbeat.Epoch = min(heartbeat.Epoch, g.accountant.Epoch())
}

// addLimitAccounts adds to a heartbeat the accounts that the daemon at an address lacks.
func (g *Gateway) addLimitAccounts(heartbeat *heartbeater.Heartbeat, to identifier.Address) {
	for _, member := range g.EpochTracker.Current().Members {
		if member.PeerAddress == to {
			heartbeat.LimitAccounts = g.accountant.Export(member.Incarnation)
		}
	}
}

// configureLimits applies the rates and bursts of a version or of changed settings.
func (g *Gateway) configureLimits(workspaces map[identifier.WorkspaceName]parser.Workspace) {
	g.Limiter.Configure(g.withTolerance(workspaces))
	settings := *g.currentSettings().Gateway
	bounds := make(map[identifier.WorkspaceName]accountant.Bounds, len(workspaces))
	for name, w := range workspaces {
		limit := identifier.Tokens(float64(w.Rate)*settings.LimitToleranceWindow.Seconds()) + w.Burst
		bounds[name] = accountant.Bounds{
			Limit:       limit,
			Allowed:     limit + tolerance(settings, w, apportioner.HomePart),
			Unconfirmed: tolerance(settings, w, unconfirmedPart),
		}
	}
	g.accountant.Configure(bounds)
}

func (g *Gateway) wireReserver(deps fleet.Dependencies) {
	g.reserver = reserver.New()
	g.reserver.Self = g.Identity.Self.Incarnation
	g.reserver.Limiter = g.Limiter
	if g.keepsAccounts() {
		g.reserver.Accountant = g.accountant
		g.reserver.PrefetchTolerance = func(w parser.Workspace) identifier.Tokens {
			return tolerance(*g.currentSettings().Gateway, w, g.apportioner.PrefetchPart())
		}
	}
	g.reserver.RankedMembers = func(name identifier.WorkspaceName) []epochtracker.Member {
		return g.EpochTracker.Current().RankedMembers(name)
	}
	g.reserver.Send = g.PeerClient.TakeTokens
	g.reserver.SendRefunds = g.PeerClient.RefundTokens
	g.reserver.FindWorkspace = func(name identifier.WorkspaceName) (parser.Workspace, bool) {
		workspace, ok := g.Follower.Version().Workspaces[name]
		return workspace, ok
	}
	g.reserver.Tolerance = func(w parser.Workspace) identifier.Tokens {
		if !g.Confirmer.IsCurrent() {
			return 0
		}
		return tolerance(*g.currentSettings().Gateway, w, g.apportioner.DeputyPart(w.Name))
	}
	g.reserver.IsolatedTolerance = func(w parser.Workspace) identifier.Tokens {
		return tolerance(*g.currentSettings().Gateway, w, g.apportioner.IsolatedPart())
	}
	g.reserver.IsSilent = g.isSilent
	g.reserver.ToleranceWindow = g.currentSettings().Gateway.LimitToleranceWindow
	g.reserver.Clock = deps.Clock
	g.reserver.Log = logger.For(deps.Log, logger.Shares)
}

// observeFleetSize records how many daemons this daemon knows of.
func (g *Gateway) observeFleetSize() {
	g.apportioner.ObserveFleetSize(max(len(g.Peers.Live())+1, len(g.Peers.VMs()), len(g.EpochTracker.Current().Members)))
}

// withTolerance returns the workspaces with the home's part of the deployment's
// tolerance added to their bursts.
func (g *Gateway) withTolerance(workspaces map[identifier.WorkspaceName]parser.Workspace) map[identifier.WorkspaceName]parser.Workspace {
	adjusted := make(map[identifier.WorkspaceName]parser.Workspace, len(workspaces))
	for name, workspace := range workspaces {
		workspace.Burst += tolerance(*g.currentSettings().Gateway, workspace, apportioner.HomePart)
		adjusted[name] = workspace
	}
	return adjusted
}

// tolerance returns a part of the tokens that the deployment tolerates beyond a
// workspace's rate and burst within the limit window.
func tolerance(s configurer.Gateway, w parser.Workspace, part float64) identifier.Tokens {
	allowed := float64(w.Rate)*s.LimitToleranceWindow.Seconds() + float64(w.Burst)
	return identifier.Tokens(part * (s.LimitToleranceRatio*allowed + s.LimitToleranceTokens))
}
