// Package placer assigns each request to a prefill engine and a decode engine.
// It forecasts the KV cache memory of every decode engine over the coming
// seconds and admits a request only where the forecast peak fits: an engine
// that runs out of memory preempts running requests and prefills their prompts
// again. It serves the daemon of package gateway; that of package server uses planner.
package placer

import (
	"maps"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
	"sassafraspass.dev/sassafraspass/request/speedometer"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// hintFactor scales the caller's estimate of its output length, because about
	// half of the outputs are longer than their estimate.
	hintFactor = 1.2
	// unhintedOutputFraction is the fraction of the maximum output that replaces a
	// missing output hint. hintFactor scales it as it scales a hint.
	unhintedOutputFraction = 0.5
	// maxUtilization is the fraction of a decode engine's memory that the
	// forecast peak may reach.
	maxUtilization = 0.95
	// overrunFactor and overrunTokens extend the estimate of a request that has
	// already produced more output than expected.
	overrunFactor = 1.15
	overrunTokens = 200
	// blockTokens is the number of tokens in one block, the unit in which
	// engines allocate memory.
	blockTokens = 16
	// defaultDecodeRate is the rate at which one request produces output, and
	// defaultPrefillRate the throughput of one prefill engine, both in tokens per
	// second. They are the initial values of moving averages.
	defaultDecodeRate  = 1200.0
	defaultPrefillRate = 50_000.0
	// maxPrefillBacklog bounds the work queued at one prefill engine. Requests in
	// the pool's queue can still be reordered; those queued at the engine cannot.
	maxPrefillBacklog = 250 * time.Millisecond
	// transferTime is the time planned for the KV cache transfer from the prefill
	// engine to the decode engine.
	transferTime = 60 * time.Millisecond
	// crossZonePenalty is the cost of a pair with a zone cost of transferTime, as a
	// fraction of a decode engine's memory. Transfers between zones take twice as long.
	crossZonePenalty = 0.04
	// sampleWeight is the weight of a new sample in the moving averages of the
	// prefill and decode rates.
	sampleWeight = 0.1
	// minEjectionTime is how long an engine is ejected, that is, gets no requests,
	// after a failure. The time doubles with each consecutive failure, up to
	// maxEjectionTime.
	minEjectionTime = 700 * time.Millisecond
	maxEjectionTime = 6 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a refusal.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// placementTimeout is the age at which a placement is released even if its
	// end was never reported.
	placementTimeout = 20 * time.Second
	// expiryInterval is the time between two checks for such placements, which look at
	// all placements.
	expiryInterval = 100 * time.Millisecond
	// maxRetryHold is how long a request that may have crashed its engine waits for
	// others to clear it.
	maxRetryHold = 500 * time.Millisecond
	// crashWindow is the time within which the signs of one crash are reported, and
	// restartWindow the time within which the engine may be back. maxUnanswered bounds
	// the cuts that are remembered for it.
	crashWindow   = time.Second
	restartWindow = 10 * time.Second
	maxUnanswered = 256
)

// Key identifies a placement by the daemon that requested it and a number that
// the requester chose.
type Key struct {
	Requester identifier.Incarnation
	Number    int64
}

// Request asks for a prefill engine and a decode engine.
type Request struct {
	Key          Key
	PromptTokens identifier.Tokens
	MaxOutput    identifier.Tokens
	// OutputHint is the caller's estimate of its output length, zero if unknown.
	OutputHint identifier.Tokens
	// PromptParts lists the parts of the prompt that other requests may share.
	PromptParts []identifier.PromptPartID
	// OwnPart is the last part of the prompt, which only the request itself or those of
	// its session have.
	OwnPart identifier.PromptPartID
	// Priority orders the queue; lower values go first.
	Priority int
	// TimeToDeadline is the time left until the first event is due, negative if it
	// is overdue. MaxWait is the longest time that the request may wait for engines.
	TimeToDeadline time.Duration
	MaxWait        time.Duration
	// Avoid lists engines that already failed this request.
	Avoid []identifier.UpstreamName
	// HeldBack lists engines to which the requesting daemon must not send now.
	HeldBack []identifier.UpstreamName
	// Workspace is that of the caller, and Zone that of the requesting daemon. They are
	// empty if unknown.
	Workspace identifier.WorkspaceName
	Zone      identifier.ZoneName
	// Resumed says that an engine has already run a part of the request for a caller
	// that was cut off.
	Resumed bool
}

// Grant names the engines assigned to a request.
type Grant struct {
	// Prefill is empty if the decode engine reads by itself what it does not have of
	// the prompt. Only a resumed request gets such a grant.
	Prefill identifier.UpstreamName
	Decode  identifier.UpstreamName
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// PeakUtilization is the forecast peak memory of the decode engine, as a
	// fraction of its capacity.
	PeakUtilization float64
}

// engine is what the pool knows about one engine.
type engine struct {
	entry registrar.Entry
	// nameHash is the hash of its name, which ranks it among others for a prompt.
	nameHash   uint64
	placements []*placement
	// reserved is the sum of the memory that the placements use at their ends.
	reserved float64
	// leftOutBy is the number of the choice that leaves the engine out, see leaveOut.
	leftOutBy uint64
	// reservedIn is the number of the pass in which the engine is kept from reservedFrom
	// on for a request without room.
	reservedIn   uint64
	reservedFrom time.Time
	// busyUntil is the estimated time at which a prefill engine finishes the
	// prefills assigned to it.
	busyUntil time.Time
	// unread is the time that the unfinished prefills assigned to it take.
	unread       time.Duration
	ejectedUntil time.Time
	// failures counts the consecutive failures.
	failures int
	// externalTokens is the memory used by requests that this pool did not place,
	// as of externalUpdatedAt.
	externalTokens    float64
	externalUpdatedAt time.Time
	// roleChange is the role change in progress, if any.
	roleChange pendingRoleChange
	// crashSeenAt is when the engine last broke off a response, or refused a connection.
	crashSeenAt time.Time
	// isCold is set if the engine was cold when it was configured.
	isCold bool
}

// unansweredCut is a placement whose engine broke off before the header of its response, or
// before the end of a prefill.
type unansweredCut struct {
	placement *placement
	engine    registrar.Entry
	at        time.Time
}

// Pool assigns the requests of one model service to its engines. It is not safe
// for concurrent use.
type Pool struct {
	// Choice selects how engines are chosen. ZoneCost is the cost of work between two
	// zones. Both are set before the first request.
	Choice Choice
	// isUneven is set while some engines are much slower than the others.
	isUneven bool
	ZoneCost func(from, to identifier.ZoneName) time.Duration

	profile parser.EngineProfile
	engines map[identifier.UpstreamName]*engine
	// byRole holds the engines of each role, sorted by name.
	byRole   map[parser.Role][]*engine
	fairness fairness
	// turns counts the placements while others wait, since the last overdue request.
	turns int
	// passes counts the processings of the queue.
	passes uint64
	// choices counts the choices of engines. candidates and forecasted are buffers of
	// the current one.
	choices    uint64
	candidates []candidate
	prefills   []prefillCandidate
	forecasted []*placement
	// expiryCheckedAt is when expired placements were last looked for.
	expiryCheckedAt time.Time
	placements      map[Key]*placement
	queue           []*PendingRequest
	// decodeRate is the rate at which one request produces output, and prefillRate
	// the throughput of one prefill engine. Both are moving averages in tokens per
	// second.
	decodeRate  float64
	prefillRate float64
	// prefillSpeeds and decodeSpeeds hold the same rates by engine.
	prefillSpeeds *speedometer.Speedometer
	decodeSpeeds  *speedometer.Speedometer
	// speedChanges holds the changes that the Placer has not taken yet.
	speedChanges []SpeedChange
	mix          requestMix
	quarantine   *quarantiner.Quarantiner
	// outputs holds the placements whose output has started less than quarantiner.SettleTime ago.
	outputs []*placement
	// unproven holds the placements whose output is older, and younger than
	// quarantiner.ProvenAge.
	unproven []*placement
	// unanswered holds the cuts that no other sign of a crash confirms so far.
	unanswered []unansweredCut
	// decisions holds the quarantiner's decisions that the Placer has not taken yet.
	decisions []quarantiner.Decision
	grants    Grants
}

// NewPool returns a pool without engines.
func NewPool() *Pool {
	return &Pool{
		Choice:        ChoicePooled,
		ZoneCost:      DefaultZoneCost,
		engines:       make(map[identifier.UpstreamName]*engine),
		placements:    make(map[Key]*placement),
		decodeRate:    defaultDecodeRate,
		prefillRate:   defaultPrefillRate,
		prefillSpeeds: speedometer.New(defaultPrefillRate),
		decodeSpeeds:  speedometer.New(defaultDecodeRate),
		quarantine:    quarantiner.New(),
		fairness:      fairness{served: make(map[identifier.WorkspaceName]float64)},
	}
}

// Configure sets the service's engine profile and the engines that accept new
// requests. It ends the role change of an engine that has its new role or restarted.
func (p *Pool) Configure(profile parser.EngineProfile, entries []registrar.Entry, now time.Time) {
	p.profile = profile
	configured := make(map[identifier.UpstreamName]bool)
	for _, entry := range entries {
		configured[entry.Name] = true
		p.confirmRestart(entry, now)
		e, ok := p.engines[entry.Name]
		if !ok {
			e = p.formerEngine(entry)
			p.engines[entry.Name] = e
		}
		if e.roleChange.to == entry.Role || !e.entry.StartedAt.Equal(entry.StartedAt) {
			e.roleChange = pendingRoleChange{}
		}
		if ok && !e.entry.StartedAt.Equal(entry.StartedAt) {
			p.forgetSpeed(entry.Name)
		}
		e.entry = entry
		e.isCold = p.grants.isCold(entry)
	}
	for name := range p.engines {
		if !configured[name] {
			delete(p.engines, name)
			p.forgetSpeed(name)
		}
	}
	p.byRole = make(map[parser.Role][]*engine)
	for _, name := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[name]
		p.byRole[e.entry.Role] = append(p.byRole[e.entry.Role], e)
	}
}

func (p *Pool) hasRole(role parser.Role) bool {
	return len(p.byRole[role]) > 0
}

// placePooled assigns a request to the pair with the lowest cost, which is the decode
// engine's forecast peak utilization plus the zone cost as a fraction of memory. It
// returns false if no pair has room. A decode engine without placements accepts
// a request whatever its forecast peak. A request that may crash its engine goes to the
// one with the fewest placements.
func (p *Pool) placePooled(pending *PendingRequest, mayCrash bool, now time.Time) bool {
	var best Grant
	var bestPlacement *placement
	lowest := 0.0
	limit := maxUtilization * tokens(p.profile.KVCacheCapacity)
	prefills := p.usableEngines(parser.RolePrefill, pending.request, now)
	for _, decode := range p.usableEngines(parser.RoleDecode, pending.request, now) {
		if len(decode.placements) >= max(1, decode.entry.Slots) {
			continue
		}
		prefill := p.choosePrefill(decode, prefills, now)
		if prefill == nil {
			continue
		}
		pl := p.newPlacement(pending, prefill, decode, now)
		peak := peakMemory(append(slices.Clone(decode.placements), pl), now, p.decodeRateOf(decode, now)) + decode.estimateExternalTokens(now)
		isIdle := len(decode.placements) == 0
		if peak > limit && !isIdle {
			continue
		}
		cost := peak/tokens(p.profile.KVCacheCapacity) + memoryFraction(p.ZoneCost(prefill.entry.Zone, decode.entry.Zone))
		if mayCrash {
			cost += float64(len(decode.placements))
		}
		if bestPlacement == nil || cost < lowest {
			lowest = cost
			bestPlacement = pl
			best = Grant{Prefill: prefill.entry.Name, Decode: decode.entry.Name, Waited: now.Sub(pending.queuedAt), PeakUtilization: peak / tokens(p.profile.KVCacheCapacity)}
		}
	}
	if bestPlacement == nil || !p.grants.takeBoth(bestPlacement) {
		return false
	}
	p.addPlacement(bestPlacement, now)
	pending.Outcome <- Outcome{Grant: best}
	return true
}

// newPlacement returns the placement of a request on a pair of engines. It does not
// change the pool.
func (p *Pool) newPlacement(pending *PendingRequest, prefill, decode *engine, now time.Time) *placement {
	prefillTime := p.prefillTime(pending.request, prefill, now)
	prefillStart := now
	if prefill.busyUntil.After(prefillStart) {
		prefillStart = prefill.busyUntil
	}
	return &placement{
		key:            pending.request.Key,
		promptTokens:   tokens(pending.request.PromptTokens),
		expectedOutput: pending.expectedOutput,
		decodeStart:    prefillStart.Add(prefillTime + transferTime),
		prefill:        prefill,
		decode:         decode,
		prefillEntry:   prefill.entry,
		decodeEntry:    decode.entry,
		prefillTime:    prefillTime,
		placedAt:       now,
		parts:          pending.request.PromptParts,
		shape:          shapeOf(pending.request),
		tokensToRead:   p.tokensToRead(pending.request, prefill, now),
	}
}

func (p *Pool) addPlacement(pl *placement, now time.Time) {
	p.placements[pl.key] = pl
	pl.isStarting = true
	p.quarantine.BeginStart(pl.parts)
	pl.decode.placements = append(pl.decode.placements, pl)
	pl.decode.reserved += pl.finalMemory()
	if pl.prefill.busyUntil.Before(now) {
		pl.prefill.busyUntil = now
	}
	pl.prefill.busyUntil = pl.prefill.busyUntil.Add(pl.prefillTime)
	if !pl.prefilled {
		pl.prefill.unread += pl.prefillTime
	}
}

// choosePrefill returns the prefill engine with the smallest sum of its backlog and the
// cost of the way to the decode engine's zone. It
// returns nil if every backlog exceeds maxPrefillBacklog.
func (p *Pool) choosePrefill(decode *engine, prefills []*engine, now time.Time) *engine {
	var best *engine
	least := time.Duration(0)
	for _, e := range prefills {
		backlog := max(0, e.busyUntil.Sub(now))
		if backlog > maxPrefillBacklog {
			continue
		}
		backlog += p.ZoneCost(e.entry.Zone, decode.entry.Zone)
		if best == nil || backlog < least {
			best = e
			least = backlog
		}
	}
	return best
}

// usableEngines returns the engines of a role that accept requests, sorted by
// name. It leaves out engines that are ejected or changing their role, and those that
// the request avoids or that its daemon holds back.
func (p *Pool) usableEngines(role parser.Role, req Request, now time.Time) []*engine {
	var usable []*engine
	p.leaveOut(req)
	for _, e := range p.byRole[role] {
		if p.isUsable(e, now) {
			usable = append(usable, e)
		}
	}
	return usable
}

// leaveOut begins a choice of engines for a request. It marks the engines that the
// request avoids or that its daemon holds back.
func (p *Pool) leaveOut(req Request) {
	p.choices++
	for _, names := range [][]identifier.UpstreamName{req.Avoid, req.HeldBack} {
		for _, name := range names {
			e, ok := p.engines[name]
			if ok {
				e.leftOutBy = p.choices
			}
		}
	}
}

// isUsable reports whether an engine accepts the request of the current choice.
func (p *Pool) isUsable(e *engine, now time.Time) bool {
	return e.leftOutBy != p.choices && !now.Before(e.ejectedUntil) && !e.isChangingRole(now) && p.grants.mayTake(e)
}
