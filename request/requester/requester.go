// Package requester asks the daemon that admits the requests of a plain service for
// servers. Without contention it asks nobody, and this daemon chooses by itself. All
// requests that wait are sent in one call, and a daemon has at most one call open per
// service. If there is no response in time, this daemon chooses by itself within a bound
// on its concurrent requests.
package requester

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/admitter"
	"sassafraspass.dev/sassafraspass/request/broker"
	"sassafraspass.dev/sassafraspass/request/ejector"
)

const (
	// callTimeout is how long a response is waited for. Requests that wait then are sent
	// to servers of this daemon's choice.
	callTimeout = 150 * time.Millisecond
	// unreachableBackoff is how long a daemon that did not respond is not called. It
	// doubles with each further failure up to maxBackoff, as each attempt delays the
	// requests that wait by callTimeout. notOfferedBackoff is the same for a daemon that
	// does not offer admission.
	unreachableBackoff = 700 * time.Millisecond
	maxBackoff         = 5 * time.Second
	notOfferedBackoff  = 30 * time.Second
	// contentionTime is how long this daemon asks for servers after the last rejection,
	// late response or wait.
	contentionTime = 3 * time.Second
	// lateFraction is the fraction of the time until the objective after which a response
	// counts as late. Responses beyond the objective itself come only once queues are
	// long; a half would count one in 12 without contention if service times of a fifth
	// of the objective vary exponentially.
	lateFraction = 0.75
	// waitThreshold is the wait for a server that counts as contention.
	waitThreshold = 10 * time.Millisecond
	// minCallInterval is the time between the starts of two calls without a decision.
	minCallInterval = 5 * time.Millisecond
	// failureDelay is how long a report of a rejection or failure waits for a request
	// that is sent with it.
	failureDelay = 20 * time.Millisecond
	// maxReports bounds the reports that wait for the next call, and maxReportAge their
	// age. Older ones tell nothing about the present load.
	maxReports   = 128
	maxReportAge = 2 * time.Second
	// ownQueueFactor is the number of requests that may wait for one of this daemon's own
	// concurrent requests to end, per concurrent request.
	ownQueueFactor  = 4
	refusalInterval = 500 * time.Millisecond
)

// Request describes a request that needs a server.
type Request struct {
	Workspace identifier.WorkspaceName
	Priority  int
	// Objective is the time by which the response is on time, zero if there is none, and
	// Deadline the time until which it is waited for.
	Objective time.Time
	Deadline  time.Time
	// Avoid returns the servers that must not get the request.
	Avoid func() []identifier.UpstreamName
}

// Requester acquires servers for this daemon's requests. It is safe for concurrent use.
type Requester struct {
	Self identifier.Incarnation
	Zone identifier.ZoneName
	// IsFleetWide reports whether the requests of a service are admitted for the whole
	// fleet.
	IsFleetWide func(service identifier.ServiceName) bool
	// IsContended reports whether other daemons say that requests of a service wait.
	IsContended func(service identifier.ServiceName) bool
	// Candidates returns the daemons that may admit a service's requests, by rank. The
	// address of this daemon is empty.
	Candidates func(service identifier.ServiceName) []broker.Candidate
	// Call asks the daemon at an address, and Local this daemon.
	Call  func(ctx context.Context, address identifier.Address, call admitter.Call) ([]admitter.Decision, error)
	Local func(ctx context.Context, call admitter.Call) []admitter.Decision
	// OwnLimit returns how many requests of a service this daemon may have running while
	// it chooses servers by itself although there is contention.
	OwnLimit func(service identifier.ServiceName) int

	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter

	mu         sync.Mutex
	lastNumber int64
	services   map[identifier.ServiceName]*serviceState
	backoffs   map[identifier.Address]backoff
}

// backoff is the pause in the calls to a daemon after its last failure.
type backoff struct {
	until  time.Time
	length time.Duration
}

// serviceState is the state of one service.
type serviceState struct {
	contendedUntil time.Time
	isContended    bool
	waiting        []*pendingRequest
	// running holds the requests that have been admitted to, or sent to a server.
	running   map[int64]runningRequest
	ended     []endedReport
	isCalling bool
	// active counts the requests that have a server or choose one. ownQueue holds those
	// that wait until active is below the own limit.
	active   int
	ownQueue []chan struct{}
}

// pendingRequest is a request that waits for a decision.
type pendingRequest struct {
	number  int64
	request Request
	// decision gets a decision, the zero one if there is none in time.
	decision chan admitter.Decision
}

// runningRequest is a request at a server. Until it is sent, sentAt is the time of its
// admission.
type runningRequest struct {
	upstream identifier.UpstreamName
	sentAt   time.Time
}

type endedReport struct {
	admitter.Report
	endedAt time.Time
}

// New returns a requester without requests. The caller sets its exported fields.
func New() *Requester {
	return &Requester{
		IsContended: func(identifier.ServiceName) bool { return false },
		services:    make(map[identifier.ServiceName]*serviceState),
		backoffs:    make(map[identifier.Address]backoff),
	}
}

// Acquire returns an admission for a request, which the caller ends. It waits for the
// decision of the admitting daemon if there is contention. A nil admission means that
// requests of the service are not admitted for the whole fleet.
func (r *Requester) Acquire(ctx context.Context, service identifier.ServiceName, request Request) (*Admission, *refuser.Refusal) {
	if r == nil || !r.IsFleetWide(service) {
		return nil, nil
	}
	a, pending := r.begin(service, request)
	if pending == nil {
		return a, nil
	}
	select {
	case decision := <-pending.decision:
		return r.admissionOf(ctx, a, decision)
	case <-ctx.Done():
		r.cancel(service, pending)
	}
	// The context's end becomes the refusal of the request.
	r.addActive(a)
	return a, nil
}

// begin returns the admission of a request, and the pending request if there is a
// contention.
func (r *Requester) begin(service identifier.ServiceName, request Request) (*Admission, *pendingRequest) {
	isContendedElsewhere := r.IsContended(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	now := r.Clock.Now()
	a := &Admission{requester: r, service: service, number: r.lastNumber}
	if !request.Objective.IsZero() {
		a.lateAt = now.Add(time.Duration(lateFraction * float64(request.Objective.Sub(now))))
	}
	s := r.service(service)
	if isContendedElsewhere {
		s.contendedUntil = latest(s.contendedUntil, now.Add(waitThreshold))
	}
	if !r.updateContention(service, s, now) {
		s.active++
		return a, nil
	}
	pending := &pendingRequest{number: a.number, request: request, decision: make(chan admitter.Decision, 1)}
	s.waiting = append(s.waiting, pending)
	r.startCalling(service, s)
	return a, pending
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *Requester) service(name identifier.ServiceName) *serviceState {
	s, ok := r.services[name]
	if !ok {
		s = &serviceState{running: make(map[int64]runningRequest)}
		r.services[name] = s
	}
	return s
}

// updateContention reports whether there is contention for a service, and logs changes.
func (r *Requester) updateContention(service identifier.ServiceName, s *serviceState, now time.Time) bool {
	isContended := now.Before(s.contendedUntil)
	if isContended != s.isContended {
		s.isContended = isContended
		r.Log.Info("The way in which servers are chosen changed.", "service", service, "asks", isContended)
	}
	return isContended
}

// admissionOf returns the admission for a decision.
func (r *Requester) admissionOf(ctx context.Context, a *Admission, decision admitter.Decision) (*Admission, *refuser.Refusal) {
	if decision.Refusal != nil || decision.Waited >= waitThreshold {
		r.noteContention(a.service)
	}
	switch {
	case decision.Refusal != nil:
		return nil, decision.Refusal
	case decision.Upstream != "":
		r.Meter.CountEvent(meter.EventAdmission)
		a.Upstream = decision.Upstream
		r.addActive(a)
		return a, nil
	}
	r.Meter.CountEvent(meter.EventAdmissionFallback)
	return r.acquireOwn(ctx, a)
}

func (r *Requester) noteContention(service identifier.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).contendedUntil = r.Clock.Now().Add(contentionTime)
}

func (r *Requester) addActive(a *Admission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(a.service).active++
}

// acquireOwn waits until this daemon has fewer requests running than its own limit.
func (r *Requester) acquireOwn(ctx context.Context, a *Admission) (*Admission, *refuser.Refusal) {
	limit := r.OwnLimit(a.service)
	r.mu.Lock()
	s := r.service(a.service)
	if s.active < limit {
		s.active++
		r.mu.Unlock()
		return a, nil
	}
	if len(s.ownQueue) >= ownQueueFactor*limit {
		r.mu.Unlock()
		return nil, refuser.New(http.StatusServiceUnavailable, refuser.QueueFull, "this VM has too many requests waiting for service %s", a.service).WithRetryAfter(refusalInterval)
	}
	free := make(chan struct{})
	s.ownQueue = append(s.ownQueue, free)
	r.mu.Unlock()
	select {
	case <-free:
	case <-ctx.Done():
		r.leaveOwnQueue(a.service, free)
	}
	return a, nil
}

// leaveOwnQueue ends the wait of a request, which from then on counts as active.
func (r *Requester) leaveOwnQueue(service identifier.ServiceName, free chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	for i := range s.ownQueue {
		if s.ownQueue[i] == free {
			s.ownQueue = append(s.ownQueue[:i], s.ownQueue[i+1:]...)
			s.active++
			return
		}
	}
}

// cancel withdraws a request whose context has ended.
func (r *Requester) cancel(service identifier.ServiceName, pending *pendingRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	for i := range s.waiting {
		if s.waiting[i] == pending {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	delete(s.running, pending.number)
}

// Admission is the permission to send one request once.
type Admission struct {
	// Upstream is the server to send the request to. If it is empty, this daemon chooses.
	Upstream identifier.UpstreamName

	requester *Requester
	service   identifier.ServiceName
	number    int64
	lateAt    time.Time
	sentAt    time.Time
	sentTo    identifier.UpstreamName
	isEnded   bool
}

// Begin records that the request is being sent to an upstream.
func (a *Admission) Begin(upstream identifier.UpstreamName) {
	if a == nil {
		return
	}
	r := a.requester
	r.mu.Lock()
	defer r.mu.Unlock()
	a.sentAt = r.Clock.Now()
	a.sentTo = upstream
	r.service(a.service).running[a.number] = runningRequest{upstream: upstream, sentAt: a.sentAt}
}

// End records the outcome of the request, or that it was not sent if Begin was not
// called. Later calls do nothing.
func (a *Admission) End(outcome ejector.Outcome) {
	if a == nil {
		return
	}
	r := a.requester
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.isEnded {
		return
	}
	a.isEnded = true
	s := r.service(a.service)
	s.active--
	if len(s.ownQueue) > 0 {
		s.wakeOwn(r.OwnLimit(a.service))
	}
	delete(s.running, a.number)
	if a.sentAt.IsZero() {
		return
	}
	now := r.Clock.Now()
	if outcome == ejector.Rejected || (!a.lateAt.IsZero() && now.After(a.lateAt) && outcome != ejector.Abandoned) {
		s.contendedUntil = now.Add(contentionTime)
	}
	if len(s.ended) >= maxReports {
		s.ended = s.ended[1:]
	}
	s.ended = append(s.ended, endedReport{
		Report:  admitter.Report{Number: a.number, Upstream: a.sentTo, Outcome: outcome, Took: now.Sub(a.sentAt)},
		endedAt: now,
	})
	isUrgent := outcome == ejector.Rejected || outcome == ejector.Failed
	if isUrgent && r.updateContention(a.service, s, now) {
		r.reportSoon(a.service)
	}
}

// wakeOwn lets requests begin that wait for an end of others.
func (s *serviceState) wakeOwn(limit int) {
	for len(s.ownQueue) > 0 && s.active < limit {
		s.active++
		close(s.ownQueue[0])
		s.ownQueue = s.ownQueue[1:]
	}
}

// reportSoon sends the reports after failureDelay, unless a call takes them before.
func (r *Requester) reportSoon(service identifier.ServiceName) {
	r.Clock.AfterFunc(failureDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s := r.service(service)
		if len(s.ended) > 0 {
			r.startCalling(service, s)
		}
	})
}
