// Package meter counts events and measures durations, and serves both as
// metrics on /metrics through tally.
package meter

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
)

// RetryReason is why a request was retried, or why it was not.
type RetryReason string

// The reasons for a retry.
const (
	RetryConnect     RetryReason = "connect-failed"
	RetryErrorStatus RetryReason = "upstream-error-status"
	RetryPrefill     RetryReason = "prefill-failed"
	RetryTransfer    RetryReason = "transfer-stalled"
	RetryDecode      RetryReason = "decode-cut"
	RetryAppend      RetryReason = "append-unconfirmed"
	RetryCancel      RetryReason = "cancel-unconfirmed"
	RetryBorrow      RetryReason = "borrow-unconfirmed"
	RetryLogRead     RetryReason = "log-read-failed"
	RetryCoordinator RetryReason = "coordinator-unreached"
	// RetryBudgetSpent counts retries that the retry budget did not allow.
	RetryBudgetSpent  RetryReason = "retry-budget-spent"
	RetryUpstreamFull RetryReason = "upstream-full"
	// RetryUpstreamReplaced counts responses of another upstream at the address.
	RetryUpstreamReplaced RetryReason = "upstream-replaced"
)

// ClosureReason is why a connection of a client was closed, or its request refused before it
// was read completely.
type ClosureReason string

// The reasons for a closure.
const (
	// ClosureHeadBytes, ClosureHeadLines and ClosureEmptyLines count heads over a limit,
	// and ClosureHeadTimeout those that were not complete in time.
	ClosureHeadBytes   ClosureReason = "head-bytes"
	ClosureHeadLines   ClosureReason = "head-lines"
	ClosureEmptyLines  ClosureReason = "empty-lines"
	ClosureHeadTimeout ClosureReason = "head-timeout"
	ClosureBodyTimeout ClosureReason = "body-timeout"
	// ClosureHeadMemory counts heads for which no memory was left. ClosureHeadEvicted,
	// ClosureBodyEvicted and ClosureIdle count connections that were closed for others:
	// with an unfinished head, an unfinished body, and without a request.
	ClosureHeadMemory  ClosureReason = "head-memory"
	ClosureHeadEvicted ClosureReason = "head-evicted"
	ClosureBodyEvicted ClosureReason = "body-evicted"
	ClosureIdle        ClosureReason = "idle-evicted"
	// ClosureNoConnection counts new connections for which there was no room, as requests
	// ran on all others.
	ClosureNoConnection ClosureReason = "no-connection-left"
)

var closureReasons = []ClosureReason{
	ClosureHeadBytes, ClosureHeadLines, ClosureEmptyLines, ClosureHeadTimeout, ClosureBodyTimeout,
	ClosureHeadMemory, ClosureHeadEvicted, ClosureBodyEvicted, ClosureIdle, ClosureNoConnection,
}

// Event names a counter that is neither a refusal nor a retry.
type Event string

// The counted events.
const (
	EventRequest  Event = "requests"
	EventResponse Event = "answers"
	EventToken    Event = "tokens"
	// EventMismatchedFrame counts frames of another attempt than the stream's, and
	// duplicate frames, which are discarded.
	EventMismatchedFrame Event = "stray-frames"
	// EventMalformedRecord counts records that cannot be parsed, and
	// EventRejectedRecord parsed publications that are not accepted.
	EventMalformedRecord Event = "broken-records"
	EventRejectedRecord  Event = "rejected-records"
	// EventHold counts responses of upstreams that want no requests for a while, and
	// EventDeparture the upstreams that said that they are leaving, to this daemon or
	// to a peer.
	EventHold      Event = "upstream-holds"
	EventDeparture Event = "upstream-departures"
	// EventEvacuation counts the evacuations of zones that began, EventEvacuationEnd
	// those that ended, and EventEvacuatedSend what was not sent to an upstream because
	// of one.
	EventEvacuation    Event = "evacuations"
	EventEvacuationEnd Event = "evacuations-ended"
	EventEvacuatedSend Event = "evacuated-sends"
	// EventColdSkip counts requests that were not sent to a cold upstream because of its
	// rate.
	EventColdSkip Event = "cold-skips"
	// EventAdmission counts requests to plain services that the admitting daemon gave a
	// server, EventAdmissionCall the calls to it, and EventAdmissionFallback requests for
	// which it did not respond in time.
	EventAdmission         Event = "admissions"
	EventAdmissionCall     Event = "admission-calls"
	EventAdmissionFallback Event = "admission-fallbacks"
	// EventWastedPrefill counts prefills after which no decode returned output.
	EventWastedPrefill Event = "wasted-prefills"
	EventPrefill       Event = "prefills"
	// EventSkippedPrefill counts resumed streams whose decode engine reads by itself what
	// it does not have of the prompt.
	EventSkippedPrefill Event = "skipped-prefills"
	// EventOrphanCancelled counts attempts that a replica cancelled because their
	// daemon is gone.
	EventOrphanCancelled    Event = "orphans-cancelled"
	EventInvariantViolation Event = "invariant-violations"
	EventCutByKeyWithdrawal Event = "requests-cut-by-withdrawal"
	EventResume             Event = "resumed-streams"
	// EventRoleOrder counts orders to change its role that an engine accepted, and
	// EventFailedRoleOrder those that failed or were not sent.
	EventRoleOrder       Event = "orders"
	EventFailedRoleOrder Event = "failed-orders"
	// EventCutBeforeOutput and EventCutAfterOutput count streams that a decode engine
	// broke off, before and after its first event.
	EventCutBeforeOutput Event = "cuts-before-output"
	EventCutAfterOutput  Event = "cuts-after-output"
	// EventPartSuspected counts crashes held against a prompt part, EventQuarantine
	// quarantines that began or were extended, and EventQuarantineReleased those that
	// ended because a request with the part had output.
	EventPartSuspected      Event = "parts-suspected"
	EventQuarantine         Event = "quarantines"
	EventQuarantineReleased Event = "quarantines-released"
	// EventAccountTakeover counts the accounts of limits that this daemon began to keep,
	// EventAccountUnknown those of which it had no reliable copy, and
	// EventAccountUnconfirmed requests for tokens that were not admitted because the
	// other hubs did not confirm the account in time.
	EventAccountTakeover    Event = "limit-takeovers"
	EventAccountUnknown     Event = "limit-takeovers-without-copy"
	EventAccountUnconfirmed Event = "limit-unconfirmed"
	// EventRelayWithheld counts whole lists and rosters that were not relayed because too
	// many were being sent, and EventListRequested those requested from a peer.
	EventRelayWithheld Event = "relays-withheld"
	EventListRequested Event = "lists-requested"
	// EventLogEra counts the times that the log came back from an older copy,
	// EventInvalidEra its responses that state no valid era, and EventReadAnew the reads
	// of a topic that began anew because records were missing.
	EventLogEra     Event = "log-eras"
	EventInvalidEra Event = "invalid-log-eras"
	EventReadAnew   Event = "topics-read-anew"
)

const (
	reportInterval = time.Second
	metricPrefix   = "sassafraspass"
)

var retryReasons = []RetryReason{
	RetryConnect, RetryErrorStatus, RetryPrefill, RetryTransfer, RetryDecode,
	RetryAppend, RetryCancel, RetryBorrow, RetryLogRead, RetryCoordinator,
	RetryBudgetSpent, RetryUpstreamFull, RetryUpstreamReplaced,
}

var events = []Event{
	EventRequest, EventResponse, EventToken, EventMismatchedFrame, EventMalformedRecord,
	EventAdmission, EventAdmissionCall, EventAdmissionFallback,
	EventRejectedRecord, EventWastedPrefill, EventPrefill, EventSkippedPrefill, EventHold, EventDeparture,
	EventOrphanCancelled, EventInvariantViolation, EventCutByKeyWithdrawal, EventResume,
	EventRoleOrder, EventFailedRoleOrder, EventCutBeforeOutput, EventCutAfterOutput,
	EventPartSuspected, EventQuarantine, EventQuarantineReleased,
	EventEvacuation, EventEvacuationEnd, EventEvacuatedSend, EventColdSkip,
	EventAccountTakeover, EventAccountUnknown, EventAccountUnconfirmed,
	EventRelayWithheld, EventListRequested, EventLogEra, EventInvalidEra, EventReadAnew,
}

// WasteCause is why prompt tokens were read in vain.
type WasteCause string

// The causes of reads in vain.
const (
	// WasteCut, WasteRejected and WastePrefillFailed count the tokens that are read again
	// because a decode engine broke off or rejected the request, or a prefill failed.
	WasteCut           WasteCause = "decode-cut"
	WasteRejected      WasteCause = "decode-rejected"
	WastePrefillFailed WasteCause = "prefill-failed"
	// WasteResume counts those that are read again because the caller resumes a stream.
	WasteResume WasteCause = "resume"
	// WasteRefused and WasteAbandoned count those of requests that got no event after a
	// prefill, because they were refused, or because their caller left or their time ended.
	WasteRefused   WasteCause = "refused"
	WasteAbandoned WasteCause = "abandoned"
)

var wasteCauses = []WasteCause{WasteCut, WasteRejected, WastePrefillFailed, WasteResume, WasteRefused, WasteAbandoned}

// Timing names a histogram of durations.
type Timing string

// The measured durations.
const (
	// TimingResponse is the time from a request's arrival to the end of its
	// response.
	TimingResponse Timing = "answer-time"
	// TimingFirstEvent is the time from a streaming request's arrival to its
	// first event.
	TimingFirstEvent Timing = "first-event-time"
	// TimingTokenWait is the wait for tokens of a workspace's limit, and
	// TimingEngineWait the wait in the queue for a pair of engines.
	TimingTokenWait  Timing = "token-wait"
	TimingEngineWait Timing = "engine-wait"
	// TimingServerWait is the wait for a server of a plain service that is admitted for
	// the whole fleet.
	TimingServerWait Timing = "server-wait"
	// TimingUpstream is the time from a send to the header of the upstream's
	// response, or to the failure.
	TimingUpstream Timing = "upstream-time"
	// TimingConfigAge is the age of the configuration when a request arrives: the
	// time since it was last confirmed to be current.
	TimingConfigAge Timing = "state-age"
	// TimingAppend is the duration of an append of an epoch to the store.
	TimingAppend Timing = "append-time"
)

var timings = []Timing{
	TimingResponse, TimingFirstEvent, TimingTokenWait, TimingEngineWait, TimingServerWait,
	TimingUpstream, TimingConfigAge, TimingAppend,
}

// The upper bounds of the histogram buckets double from smallestBucket on. The
// last bound is above the longest time limit of a request.
const (
	smallestBucket = time.Millisecond
	bucketFactor   = 2
	bucketCount    = 17
)

// Meter counts refusals, retries and events, and records durations.
type Meter struct {
	scope    tally.Scope
	refusals map[refuser.Code]*counter
	retries  map[RetryReason]*counter
	closures map[ClosureReason]*counter
	events   map[Event]*counter
	wasted   map[WasteCause]*counter
	timings  map[Timing]tally.Histogram
	traffic  *trafficCounters
}

// counter keeps a sum for the status report in addition to tally's counter,
// which cannot be read.
type counter struct {
	tally tally.Counter
	sum   atomic.Int64
}

func (c *counter) add(n int64) {
	c.tally.Inc(n)
	c.sum.Add(n)
}

// New returns a meter, the handler of /metrics and a cleanup function, which
// reports the remaining counts.
func New() (m *Meter, handler http.Handler, cleanup func() error, err error) {
	defer annotator.Annotate(&err, "open metrics")
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	options := tally.ScopeOptions{
		Prefix:          metricPrefix,
		CachedReporter:  reporter,
		Separator:       tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
	}
	scope, closer := tally.NewRootScope(options, reportInterval)
	return newMeter(scope), reporter.HTTPHandler(), closer.Close, nil
}

// NewNoop returns a meter that does not export metrics, for tools and tests.
func NewNoop() *Meter {
	return newMeter(tally.NoopScope)
}

func newMeter(scope tally.Scope) *Meter {
	m := &Meter{
		scope:    scope,
		refusals: make(map[refuser.Code]*counter),
		retries:  make(map[RetryReason]*counter),
		closures: make(map[ClosureReason]*counter),
		events:   make(map[Event]*counter),
		wasted:   make(map[WasteCause]*counter),
		timings:  make(map[Timing]tally.Histogram),
		traffic:  newTrafficCounters(scope),
	}
	for _, code := range refuser.Codes {
		tagged := scope.Tagged(map[string]string{"code": string(code)})
		m.refusals[code] = &counter{tally: tagged.Counter("refusals")}
	}
	for _, reason := range retryReasons {
		tagged := scope.Tagged(map[string]string{"reason": string(reason)})
		m.retries[reason] = &counter{tally: tagged.Counter("retries")}
	}
	for _, cause := range wasteCauses {
		tagged := scope.Tagged(map[string]string{"cause": string(cause)})
		m.wasted[cause] = &counter{tally: tagged.Counter("tokens-read-in-vain")}
	}
	for _, reason := range closureReasons {
		tagged := scope.Tagged(map[string]string{"reason": string(reason)})
		m.closures[reason] = &counter{tally: tagged.Counter("closures")}
	}
	for _, event := range events {
		m.events[event] = &counter{tally: scope.Counter(string(event))}
	}
	buckets := tally.MustMakeExponentialDurationBuckets(smallestBucket, bucketFactor, bucketCount)
	for _, timing := range timings {
		m.timings[timing] = scope.Histogram(string(timing), buckets)
	}
	return m
}

// ObserveDuration records a duration in a histogram.
func (m *Meter) ObserveDuration(timing Timing, d time.Duration) { m.timings[timing].RecordDuration(d) }

// CountRefusal counts one refusal. It ignores codes that this build does not
// know, which a peer of another build may send.
func (m *Meter) CountRefusal(code refuser.Code) {
	c, ok := m.refusals[code]
	if ok {
		c.add(1)
	}
}

// CountRetry counts one retry.
func (m *Meter) CountRetry(reason RetryReason) { m.retries[reason].add(1) }

// CountClosure counts one closed connection or refused head.
func (m *Meter) CountClosure(reason ClosureReason) { m.closures[reason].add(1) }

// CountEvent counts one event.
func (m *Meter) CountEvent(event Event) { m.events[event].add(1) }

// AddEvents counts n events of one kind.
func (m *Meter) AddEvents(event Event, n int64) { m.events[event].add(n) }

// AddWaste counts prompt tokens that were read in vain.
func (m *Meter) AddWaste(cause WasteCause, tokens identifier.Tokens) {
	m.wasted[cause].add(int64(tokens))
}

// EventCount returns the number of events of one kind.
func (m *Meter) EventCount(event Event) int64 { return m.events[event].sum.Load() }

// Report holds all non-zero counters.
type Report struct {
	Refusals map[refuser.Code]int64  `json:"refusals"`
	Retries  map[RetryReason]int64   `json:"retries"`
	Closures map[ClosureReason]int64 `json:"closures"`
	Events   map[Event]int64         `json:"events"`
	// Wasted holds the prompt tokens that were read in vain.
	Wasted map[WasteCause]int64 `json:"tokens-read-in-vain"`
}

// Report returns the current non-zero counters.
func (m *Meter) Report() Report {
	return Report{
		Refusals: nonzero(m.refusals),
		Retries:  nonzero(m.retries),
		Closures: nonzero(m.closures),
		Events:   nonzero(m.events),
		Wasted:   nonzero(m.wasted),
	}
}

// nonzero returns the sums of the counters that are not zero.
func nonzero[K comparable](counters map[K]*counter) map[K]int64 {
	sums := make(map[K]int64)
	for key, c := range counters {
		if n := c.sum.Load(); n > 0 {
			sums[key] = n
		}
	}
	return sums
}
