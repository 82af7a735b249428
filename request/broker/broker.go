// Package broker sends requests for engines to the daemon that places them. For each
// service, one daemon of the fleet places all requests, so that it knows every
// placement. If it does not respond, the next daemon in the ranking places them.
package broker

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
)

const (
	// callMargin is the time that a call to another daemon may take in addition to
	// the request's MaxWait.
	callMargin = 200 * time.Millisecond
	// unreachableBackoff is how long no request is sent to a daemon that did not
	// respond.
	unreachableBackoff = 700 * time.Millisecond
	// silenceCheckInterval is how often a waiting request checks whether the daemon
	// that places it has become silent.
	silenceCheckInterval = 100 * time.Millisecond
	// batchInterval is how long reports are collected before they are sent together.
	batchInterval = 10 * time.Millisecond
	// sendTimeout bounds the sending of a batch, including its one retry.
	sendTimeout = time.Second
	// outboxCapacity is the number of reports that may wait to be sent.
	outboxCapacity = 4096
	// externalOutputRate is the output that is assumed of each placement counted in
	// ExternalLoads, in tokens per second.
	externalOutputRate = 1200
	// externalLifetime is the age up to which a placement is counted in
	// ExternalLoads.
	externalLifetime = 6 * time.Second
)

// Candidate is a daemon that may place requests. The address is empty for this
// daemon.
type Candidate struct {
	Address identifier.Address
	// IsSilent reports whether the daemon missed its latest heartbeats. It is never
	// called if the address is empty.
	IsSilent func() bool
}

// Broker acquires placements for this daemon's requests and reports their progress to
// the daemons that made them.
type Broker struct {
	Self identifier.Incarnation
	// Placer places the requests that this daemon places itself.
	Placer *placer.Placer
	// Candidates returns the daemons that may place a service's requests, by rank.
	// The first one currently places them.
	Candidates func(service identifier.ServiceName) []Candidate
	// Place requests a placement from the daemon at an address.
	Place func(ctx context.Context, address identifier.Address, service identifier.ServiceName, req placer.Request) (placer.Grant, *refuser.Refusal, error)
	// SendReports sends reports on placements to the daemon at an address.
	SendReports func(ctx context.Context, address identifier.Address, holder identifier.Incarnation, reports []messenger.PlacementReport) error

	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter

	outbox chan outgoingReport

	mu           sync.Mutex
	backoffUntil map[identifier.Address]time.Time
	// placements holds the placements in use, by the Number of their placer.Key.
	placements map[int64]placement
}

// outgoingReport is a report that waits to be sent.
type outgoingReport struct {
	address  identifier.Address
	report   messenger.PlacementReport
	queuedAt time.Time
}

// placement is a decode engine in use by a request, and the daemon that assigned it.
type placement struct {
	service       identifier.ServiceName
	placingDaemon identifier.Address
	decode        identifier.UpstreamName
	promptTokens  identifier.Tokens
	placedAt      time.Time
}

// New returns a broker without placements. The caller sets its exported fields.
func New() *Broker {
	return &Broker{
		outbox:       make(chan outgoingReport, outboxCapacity),
		backoffUntil: make(map[identifier.Address]time.Time),
		placements:   make(map[int64]placement),
	}
}

var errSilent = errors.New("the daemon is silent")

// Acquire requests a pair of engines from the candidates in order until one responds
// with a grant or a refusal. If none responds, it refuses with NoUpstream, with QueueFull
// if no time is left to wait, or with CallerGone if the context has ended.
func (b *Broker) Acquire(ctx context.Context, service identifier.ServiceName, req placer.Request) (placer.Grant, *refuser.Refusal) {
	start := b.Clock.Now()
	for _, candidate := range b.Candidates(service) {
		if b.isBackingOff(candidate.Address) {
			continue
		}
		waited := b.Clock.Since(start)
		remaining := req
		remaining.TimeToDeadline -= waited
		remaining.MaxWait -= waited
		if remaining.MaxWait <= 0 {
			// A call without time would fail and look like a daemon that does not respond.
			return placer.Grant{}, refuser.New(http.StatusServiceUnavailable, refuser.QueueFull, "no time is left to wait for engines").WithRetryAfter(time.Second)
		}
		grant, refusal, err := b.placeAt(ctx, candidate, service, remaining)
		if err == nil {
			if refusal == nil {
				b.recordPlacement(req, service, candidate.Address, grant)
			}
			return grant, refusal
		}
		if ctx.Err() != nil {
			break
		}
		b.backOff(candidate.Address)
		b.Meter.CountRetry(meter.RetryCoordinator)
		b.Log.Info("The daemon that places requests did not respond.", "service", service, "daemon", candidate.Address, "err", err)
		// The daemon may have made the placement; the report releases it.
		b.enqueueReport(candidate.Address, service, placer.Report{Key: req.Key, Step: placer.StepEnded})
	}
	if ctx.Err() != nil {
		return placer.Grant{}, refuser.New(http.StatusServiceUnavailable, refuser.CallerGone, "the request ended while it waited for engines")
	}
	return placer.Grant{}, refuser.New(http.StatusServiceUnavailable, refuser.NoUpstream, "no daemon places requests of %s", service).WithRetryAfter(time.Second)
}

// placeAt requests a placement from one candidate. It returns errSilent when the
// candidate becomes silent.
func (b *Broker) placeAt(ctx context.Context, candidate Candidate, service identifier.ServiceName, req placer.Request) (placer.Grant, *refuser.Refusal, error) {
	if candidate.Address == "" {
		grant, refusal := b.Placer.Place(ctx, service, req)
		return grant, refusal, nil
	}
	ctx, cancel := context.WithTimeout(ctx, req.MaxWait+callMargin)
	defer cancel()
	type outcome struct {
		grant   placer.Grant
		refusal *refuser.Refusal
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		grant, refusal, err := b.Place(ctx, candidate.Address, service, req)
		done <- outcome{grant, refusal, err}
	}()
	ticker := b.Clock.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case o := <-done:
			return o.grant, o.refusal, o.err
		case <-ticker.Chan():
			if candidate.IsSilent() {
				return placer.Grant{}, nil, errSilent
			}
		}
	}
}

func (b *Broker) isBackingOff(address identifier.Address) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return address != "" && b.Clock.Now().Before(b.backoffUntil[address])
}

func (b *Broker) backOff(address identifier.Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffUntil[address] = b.Clock.Now().Add(unreachableBackoff)
}

// recordPlacement records a granted placement until its final report.
func (b *Broker) recordPlacement(req placer.Request, service identifier.ServiceName, placingDaemon identifier.Address, grant placer.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placements[req.Key.Number] = placement{service: service, placingDaemon: placingDaemon, decode: grant.Decode, promptTokens: req.PromptTokens, placedAt: b.Clock.Now()}
}

// ForwardReport sends a report on a placement to the daemon that made it. A report on
// an unknown placement is ignored.
func (b *Broker) ForwardReport(service identifier.ServiceName, report placer.Report) {
	b.mu.Lock()
	p, ok := b.placements[report.Key.Number]
	if ok && isFinal(report.Step) {
		delete(b.placements, report.Key.Number)
	}
	b.mu.Unlock()
	if ok {
		b.enqueueReport(p.placingDaemon, service, report)
	}
}

// isFinal reports whether a step ends a placement.
func isFinal(step placer.Step) bool {
	return step != placer.StepPrefilled && step != placer.StepStarted
}

// enqueueReport queues a report for another daemon, and drops it if the outbox is
// full. A report for this daemon goes to its placer at once.
func (b *Broker) enqueueReport(address identifier.Address, service identifier.ServiceName, report placer.Report) {
	if address == "" {
		b.Placer.Report(service, report)
		return
	}
	select {
	case b.outbox <- outgoingReport{address: address, report: messenger.PlacementReport{Service: service, Report: report}, queuedAt: b.Clock.Now()}:
	default:
		b.Log.Warn("A report on a placement was dropped.", "daemon", address, "step", report.Step)
	}
}

// Run sends the queued reports in batches until the context ends, and returns the
// context's error. It also logs the decisions of this daemon's placer on prompt parts, and
// what it assumes of the speeds of engines.
func (b *Broker) Run(ctx context.Context) error {
	for {
		var first outgoingReport
		select {
		case first = <-b.outbox:
		case decision := <-b.Placer.Decisions():
			b.logDecision(decision)
			continue
		case change := <-b.Placer.SpeedChanges():
			b.Log.Info("The speed of an engine changed.", "service", change.Service, "engine", change.Engine, "role", change.Role, "slow", change.IsSlow, "tokens-per-s", change.Rate, "mean", change.MeanRate)
			continue
		case <-ctx.Done():
			return ctx.Err()
		}
		repeater.Sleep(ctx, b.Clock, batchInterval)
		for address, reports := range b.collectBatches(first) {
			go b.sendBatch(ctx, address, reports)
		}
	}
}

// logDecision logs a decision on a prompt part with the evidence that decided it.
func (b *Broker) logDecision(d placer.QuarantineDecision) {
	level := slog.LevelInfo
	switch d.Change {
	case quarantiner.ChangeQuarantined, quarantiner.ChangeExtended:
		level = slog.LevelWarn
		b.Meter.CountEvent(meter.EventQuarantine)
	case quarantiner.ChangeReleased:
		b.Meter.CountEvent(meter.EventQuarantineReleased)
	case quarantiner.ChangeSuspected:
		b.Meter.CountEvent(meter.EventPartSuspected)
	}
	attrs := []any{
		"service", d.Service, "part", d.Suspicion.Part, "change", d.Change, "engine", d.Engine,
		"crashes", d.Suspicion.Crashes, "requests", d.Suspicion.Requests, "rounds", d.Rounds,
	}
	if !d.LastStart.IsZero() {
		attrs = append(attrs, "last-start-ms", b.Clock.Since(d.LastStart).Milliseconds())
	}
	if !d.Until.IsZero() {
		attrs = append(attrs, "for-ms", b.Clock.Until(d.Until).Milliseconds())
	}
	b.Log.Log(context.Background(), level, "The evidence against a prompt part changed.", attrs...)
}

// collectBatches takes all reports from the outbox and groups them by address. It
// sets the age of each report.
func (b *Broker) collectBatches(first outgoingReport) map[identifier.Address][]messenger.PlacementReport {
	now := b.Clock.Now()
	batches := make(map[identifier.Address][]messenger.PlacementReport)
	next := first
	for {
		next.report.Age = now.Sub(next.queuedAt)
		batches[next.address] = append(batches[next.address], next.report)
		select {
		case next = <-b.outbox:
		default:
			return batches
		}
	}
}

// sendBatch sends reports to one daemon and retries once.
func (b *Broker) sendBatch(ctx context.Context, address identifier.Address, reports []messenger.PlacementReport) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := b.SendReports(ctx, address, b.Self, reports)
	if err != nil && ctx.Err() == nil {
		err = b.SendReports(ctx, address, b.Self, reports)
	}
	if err != nil {
		b.Log.Debug("Reports on placements were lost.", "daemon", address, "reports", len(reports), "err", err)
	}
}

// Load is the load of some placements on one decode engine.
type Load struct {
	// Running is the number of placements.
	Running int
	// Tokens is the memory that they use: their prompts and their assumed output.
	Tokens identifier.Tokens
}

// ExternalLoads returns, by decode engine, the load of this daemon's placements that
// were not made by the daemon that now places the service's requests, which therefore
// does not know of them. It leaves out placements older than externalLifetime.
func (b *Broker) ExternalLoads() map[identifier.UpstreamName]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	loads := make(map[identifier.UpstreamName]Load)
	placingDaemons := make(map[identifier.ServiceName]identifier.Address)
	for _, p := range b.placements {
		placingDaemon, known := placingDaemons[p.service]
		if !known {
			placingDaemon = b.currentPlacingDaemon(p.service)
			placingDaemons[p.service] = placingDaemon
		}
		age := now.Sub(p.placedAt)
		if p.placingDaemon == placingDaemon || age > externalLifetime {
			continue
		}
		load := loads[p.decode]
		load.Running++
		load.Tokens += p.promptTokens + identifier.Tokens(externalOutputRate*age.Seconds())
		loads[p.decode] = load
	}
	return loads
}

// currentPlacingDaemon returns the address of the service's first candidate. It is
// empty if that is this daemon or if there is none.
func (b *Broker) currentPlacingDaemon(service identifier.ServiceName) identifier.Address {
	candidates := b.Candidates(service)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[0].Address
}
