// Package demonstrator runs a small deployment inside one process: daemons,
// the log, engines and the servers of the plain services, all on loopback. The
// demo and the tests share it.
package demonstrator

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/imitator"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/server"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// Names, key and paths of the demo's configuration.
const (
	Model         identifier.ModelName     = "tiny"
	Workspace     identifier.WorkspaceName = "costing"
	Key                                    = "sp-demo-key"
	PathPriceLock                          = "/price-lock"
	PathCost                               = "/cost"
	PathHours                              = "/hours"
)

// Settings of the demo. demoRate is in tokens per second, demoBurst, demoCallTokens
// and demoMaxOutput are in tokens.
const (
	// loopbackAddress makes a listener choose a free port.
	loopbackAddress  = "127.0.0.1:0"
	demoRate         = 50_000
	demoBurst        = 100_000
	demoTimeout      = 5 * time.Second
	demoCallTokens   = 10
	demoMaxOutput    = 2048
	snapshotInterval = 5 * time.Minute
	// killTimeout bounds the wait for a killed daemon to end.
	killTimeout = 30 * time.Second
)

// Options configure a deployment.
type Options struct {
	Daemons        int
	PrefillEngines int
	DecodeEngines  int
	PlainServers   int
	// FirstCallerAddress is the address on which the first daemon listens for
	// callers. The others listen on free loopback ports.
	FirstCallerAddress identifier.Address
	// EntryMaxAge is how long callers may cache a response of /v1/entry.
	EntryMaxAge  time.Duration
	LogRetention time.Duration
	// VMListLag is the delay before changes of the list of VMs become visible.
	VMListLag time.Duration
	Assertion configurer.AssertionMode
	Logger    *slog.Logger
	// ConfigureEngine adjusts the options of each engine before it starts.
	ConfigureEngine func(*imitator.EngineOptions)
}

// DefaultOptions returns the options of a deployment of three daemons in three
// zones.
func DefaultOptions(logger *slog.Logger) Options {
	return Options{
		Daemons:            3,
		PrefillEngines:     2,
		DecodeEngines:      2,
		PlainServers:       2,
		FirstCallerAddress: loopbackAddress,
		EntryMaxAge:        time.Second,
		LogRetention:       time.Hour,
		VMListLag:          300 * time.Millisecond,
		Assertion:          configurer.AssertFatal,
		Logger:             logger,
		ConfigureEngine:    func(*imitator.EngineOptions) {},
	}
}

// Deployment is a running deployment: the log, the upstreams and the daemons.
type Deployment struct {
	Log          *imitator.Log
	LogAddress   identifier.Address
	Engines      []*Engine
	PlainServers []*PlainServer
	Daemons      []*Daemon

	options  Options
	cleanups []func()
}

// Engine is a running engine stand-in. Shutdown closes its listener, so that
// connections to its address are refused.
type Engine struct {
	*imitator.Engine
	Upstream parser.Upstream
	Shutdown func()
}

// PlainServer is a running stand-in for a server of the plain services. Shutdown
// closes its listener.
type PlainServer struct {
	*imitator.Service
	Upstream parser.Upstream
	Shutdown func()
}

// Daemon is a running daemon and its entry in the list of VMs.
type Daemon struct {
	*server.Server
	VM appender.VM
	// Stop starts a graceful shutdown.
	Stop context.CancelFunc
	// Done delivers the error of the daemon's run, or nil, and is then closed.
	Done <-chan error
	// RunErr is the value that Kill received from Done. It is nil before.
	RunErr error

	cleanup func()
}

// New starts a deployment and publishes its list of VMs. The caller publishes the
// configuration. The clean-up function stops everything.
func New(options Options) (dep *Deployment, cleanup func(), err error) {
	defer annotator.Annotate(&err, "start deployment")
	dep = &Deployment{options: options, Log: imitator.NewLog(options.LogRetention, options.VMListLag)}
	dep.LogAddress, err = dep.serve(dep.Log.Handler(), nil)
	if err != nil {
		dep.close()
		return nil, nil, err
	}
	err = dep.startUpstreams()
	if err != nil {
		dep.close()
		return nil, nil, err
	}
	for i := range options.Daemons {
		address := identifier.Address(loopbackAddress)
		if i == 0 {
			address = options.FirstCallerAddress
		}
		_, err = dep.StartDaemon(i, address)
		if err != nil {
			dep.close()
			return nil, nil, err
		}
	}
	dep.UpdateVMList()
	return dep, dep.close, nil
}

// serve serves a handler on a free loopback port until the deployment is closed.
// If shutdown is not nil, it sets *shutdown to a function that stops the server
// earlier.
func (dep *Deployment) serve(handler http.Handler, shutdown *func()) (identifier.Address, error) {
	address, closeServer, err := imitator.Serve(loopbackAddress, handler)
	if err != nil {
		return "", err
	}
	dep.cleanups = append(dep.cleanups, closeServer)
	if shutdown != nil {
		*shutdown = closeServer
	}
	return address, nil
}

func (dep *Deployment) startUpstreams() (err error) {
	for i := range dep.options.PrefillEngines {
		err = dep.startEngine(i, parser.RolePrefill)
		if err != nil {
			return err
		}
	}
	for i := range dep.options.DecodeEngines {
		err = dep.startEngine(i, parser.RoleDecode)
		if err != nil {
			return err
		}
	}
	for i := range dep.options.PlainServers {
		s := &PlainServer{}
		name := identifier.UpstreamName(fmt.Sprintf("service-%d", i))
		s.Service = imitator.NewService(name)
		address, err := dep.serve(s.Handler(), &s.Shutdown)
		if err != nil {
			return err
		}
		s.Upstream = parser.Upstream{Name: name, VM: identifier.VMName("vm-" + name), Zone: zoneFor(i), Address: address, Role: parser.RolePlain}
		dep.PlainServers = append(dep.PlainServers, s)
	}
	return nil
}

func (dep *Deployment) startEngine(i int, role parser.Role) error {
	name := identifier.UpstreamName(fmt.Sprintf("%s-%d", role, i))
	options := imitator.DefaultEngineOptions(name, role)
	dep.options.ConfigureEngine(&options)
	e := &Engine{Engine: imitator.NewEngine(options)}
	address, err := dep.serve(e.Handler(), &e.Shutdown)
	if err != nil {
		return err
	}
	e.Upstream = parser.Upstream{
		Name:    name,
		VM:      identifier.VMName("vm-" + name),
		Zone:    zoneFor(i),
		Address: address,
		Role:    role,
	}
	if role == parser.RoleDecode {
		e.Upstream.Slots = options.Slots
	}
	dep.Engines = append(dep.Engines, e)
	return nil
}

// zoneFor spreads the processes of one kind over three zones. The number i is that
// of the process within its kind.
func zoneFor(i int) identifier.ZoneName {
	zones := []identifier.ZoneName{"zone-a", "zone-b", "zone-c"}
	return zones[i%len(zones)]
}

// StartDaemon starts a daemon, which listens for callers on an address. Its
// number i determines its VM name and zone. The platform lists it after the next
// UpdateVMList.
func (dep *Deployment) StartDaemon(i int, callerAddress identifier.Address) (d *Daemon, err error) {
	settings := configurer.Settings{
		VM:               identifier.VMName(fmt.Sprintf("vm-entry-%d", i)),
		Zone:             zoneFor(i),
		CallerAddress:    callerAddress,
		PeerAddress:      loopbackAddress,
		OperatorAddress:  loopbackAddress,
		LogAddress:       dep.LogAddress,
		EntryMaxAge:      dep.options.EntryMaxAge,
		SnapshotInterval: snapshotInterval,
		Assertion:        dep.options.Assertion,
	}
	daemon, cleanup, err := server.New(settings, dep.options.Logger, clockwork.NewRealClock())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	d = &Daemon{
		Server: daemon,
		VM: appender.VM{
			Name:            settings.VM,
			Zone:            settings.Zone,
			State:           appender.VMServing,
			PeerAddress:     daemon.PeerAddress(),
			OperatorAddress: daemon.OperatorAddress(),
		},
		Stop:    cancel,
		Done:    done,
		cleanup: cleanup,
	}
	go func() {
		done <- daemon.Run(ctx)
		close(done)
	}()
	dep.Daemons = append(dep.Daemons, d)
	return d, nil
}

// UpdateVMList sets the platform's list of VMs to those of all daemons and
// upstreams of the deployment.
func (dep *Deployment) UpdateVMList() {
	var vms []appender.VM
	for _, d := range dep.Daemons {
		vms = append(vms, d.VM)
	}
	for _, upstream := range dep.Upstreams() {
		vms = append(vms, appender.VM{Name: upstream.VM, Zone: upstream.Zone, State: appender.VMServing})
	}
	dep.Log.SetVMs(vms)
}

// Upstreams returns all engines and servers of the plain services.
func (dep *Deployment) Upstreams() []parser.Upstream {
	var all []parser.Upstream
	for _, e := range dep.Engines {
		all = append(all, e.Upstream)
	}
	for _, s := range dep.PlainServers {
		all = append(all, s.Upstream)
	}
	return all
}

// Publication returns the demo's configuration.
func (dep *Deployment) Publication() *parser.Publication {
	var engines, servers []parser.Upstream
	for _, e := range dep.Engines {
		engines = append(engines, e.Upstream)
	}
	for _, s := range dep.PlainServers {
		servers = append(servers, s.Upstream)
	}
	return &parser.Publication{
		Profiles: []parser.Profile{
			{Name: "chat", Class: parser.ClassInteractive, Idempotency: parser.Idempotent, Access: parser.AccessKey, Timeout: demoTimeout, MaxOutput: demoMaxOutput},
			{Name: "lock", Class: parser.ClassInteractive, Idempotency: parser.NonIdempotent, Access: parser.AccessKey, Timeout: demoTimeout, CallTokens: demoCallTokens},
			{Name: "lookup", Class: parser.ClassInteractive, Idempotency: parser.Idempotent, Access: parser.AccessKey, Timeout: demoTimeout, CallTokens: demoCallTokens},
			{Name: "open", Class: parser.ClassInteractive, Idempotency: parser.Idempotent, Access: parser.AccessAnonymous, Timeout: demoTimeout},
		},
		Services: []parser.Service{
			{Name: "tiny-model", Kind: parser.KindModel, Profile: "chat", Model: Model, Upstreams: engines},
			{Name: "price-lock", Kind: parser.KindPlain, Profile: "lock", Paths: []string{PathPriceLock}, Upstreams: servers},
			{Name: "cost", Kind: parser.KindPlain, Profile: "lookup", Paths: []string{PathCost}, Upstreams: servers},
			{Name: "hours", Kind: parser.KindPlain, Profile: "open", Paths: []string{PathHours}, Upstreams: servers},
		},
		Workspaces: []parser.Workspace{{Name: Workspace, Rate: demoRate, Burst: demoBurst}},
		Keys:       []parser.Key{{Digest: identifier.NewKeyDigest(Key), Workspace: Workspace}},
	}
}

// close kills the daemons and then stops the stand-ins.
func (dep *Deployment) close() {
	for _, d := range dep.Daemons {
		d.Kill()
	}
	for i := len(dep.cleanups) - 1; i >= 0; i-- {
		dep.cleanups[i]()
	}
}

// Kill ends the daemon without a graceful shutdown, as if its process had died.
// It waits up to killTimeout for the daemon to end.
func (d *Daemon) Kill() {
	d.Abort()
	d.Stop()
	select {
	case d.RunErr = <-d.Done:
	case <-time.After(killTimeout):
	}
	d.cleanup()
}
