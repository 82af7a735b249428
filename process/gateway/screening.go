package gateway

import (
	"cmp"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"golang.org/x/sys/unix"

	"sassafraspass.dev/sassafraspass/connection/opener"
	"sassafraspass.dev/sassafraspass/connection/rationer"
	"sassafraspass.dev/sassafraspass/connection/screener"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/logger"
)

const (
	// The limits of callers' heads and connections if the configuration sets none, and
	// those of all other servers.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 90 * time.Second
	// Callers wait less for their responses than these times of a body.
	stallTimeout          = 10 * time.Second
	bodyTimeout           = time.Minute
	defaultMaxHeaderBytes = 64 << 10
	// defaultMaxHeaderLines is what fits into 16 KiB, a head's usual maximum size.
	defaultMaxHeaderLines = 4096
	// The ranges of what the configuration sets. A head of an ordinary request has less
	// than minHeaderBytes.
	minHeaderBytes   = 4 << 10
	maxHeaderBytes   = 512 << 10
	minHeaderTimeout = 500 * time.Millisecond
	minIdleTimeout   = time.Second
	// maxScreenedHeaderBytes is the limit of net/http, which the screener's ones are below.
	maxScreenedHeaderBytes = 1 << 20

	// headFraction is the fraction of the VM's memory that the heads of all requests may
	// take, and minHeadMemory the least. One head of 16 KiB takes up to 0.8 MiB.
	headFraction  = 1.0 / 16
	minHeadMemory = 2 << 20
	// connMemoryFraction is the fraction of the VM's memory that the connections of all
	// clients may take, of connMemory each.
	connMemoryFraction = 0.3
	connMemory         = 20 << 10
	// minConns is the least number of connections of a class.
	minConns = 8
)

// idleUpstreamFraction is the fraction of the descriptors that idle connections to upstreams
// may take.
const idleUpstreamFraction = 0.12

// maxIdleUpstreamConns returns the maximum number of idle connections to upstreams.
func maxIdleUpstreamConns(descriptors int) int {
	return max(minConns, int(idleUpstreamFraction*float64(descriptors)))
}

// connClass is a group of servers that share a maximum number of connections.
type connClass string

const (
	// callerConns are connections to the servers for callers and of the directory, and
	// operatorConns those to the servers for operators and of the readiness check.
	callerConns   connClass = "callers"
	peerConns     connClass = "peers"
	operatorConns connClass = "operators"
)

// connFractions are the fractions of the descriptors that the connections of each class may
// take. The rest, 0.4, is left for connections to upstreams, the store and peers: a
// running request has one to an upstream, and idleUpstreamFraction may be idle.
var connFractions = map[connClass]float64{callerConns: 0.25, peerConns: 0.3, operatorConns: 0.05}

func (g *Gateway) wireScreener(deps fleet.Dependencies) {
	var heads *rationer.Rationer
	memory := g.currentSettings().Gateway.MemoryMiB * (1 << 20)
	if memory > 0 {
		heads = rationer.New(max(minHeadMemory, int64(headFraction*memory)))
	}
	g.screener = screener.New(heads, deps.Clock, logger.For(deps.Log, logger.Process), deps.Meter)
	g.connGroups = make(map[connClass]*screener.Group)
	descriptors := descriptorLimit(g.currentSettings().Gateway.FileDescriptors)
	for class := range connFractions {
		g.connGroups[class] = g.screener.AddGroup(string(class), maxConns(class, descriptors, g.currentSettings().Gateway.MemoryMiB))
	}
}

// serveScreened adds a server to a run group whose connections the screener owns.
func (g *Gateway) serveScreened(group *run.Group, class connClass, server *http.Server, l net.Listener) {
	limits := g.defaultLimits
	if class == callerConns {
		limits = g.callerLimits
	}
	screened := g.connGroups[class].NewServer(limits)
	screened.Attach(server)
	opener.Serve(group, server, screened.Listen(l))
}

// maxConns returns the maximum number of connections of a class.
func maxConns(class connClass, descriptors int, memoryMiB float64) int {
	most := connFractions[class] * float64(descriptors)
	if memoryMiB > 0 {
		sum := 0.0
		for _, fraction := range connFractions {
			sum += fraction
		}
		most = min(most, connFractions[class]/sum*connMemoryFraction*memoryMiB*(1<<20)/connMemory)
	}
	return max(minConns, int(most))
}

// descriptorLimit returns the lower one of the process's limit of descriptors and that of the
// settings, zero for none.
func descriptorLimit(configured float64) int {
	var limit unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	own := float64(math.MaxInt32)
	if err == nil {
		own = min(own, float64(limit.Cur))
	}
	return int(min(own, cmp.Or(configured, own)))
}

func (g *Gateway) defaultLimits() screener.Limits {
	return screener.Limits{
		HeadBytes: defaultMaxHeaderBytes, HeadLines: cmp.Or(g.currentSettings().Gateway.MaxHeaderLines, defaultMaxHeaderLines),
		HeadTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, StallTimeout: stallTimeout, BodyTimeout: bodyTimeout,
	}
}

// callerLimits returns the limits of the configuration in force.
func (g *Gateway) callerLimits() screener.Limits {
	limits := g.defaultLimits()
	bounds := g.Follower.Version().Bounds
	if bounds.MaxHeaderBytes > 0 {
		limits.HeadBytes = int(min(max(bounds.MaxHeaderBytes, minHeaderBytes), maxHeaderBytes))
	}
	if bounds.HeaderTimeout > 0 {
		limits.HeadTimeout = max(bounds.HeaderTimeout, minHeaderTimeout)
	}
	if bounds.IdleTimeout > 0 {
		limits.IdleTimeout = max(bounds.IdleTimeout, minIdleTimeout)
	}
	return limits
}
