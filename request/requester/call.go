package requester

import (
	"context"
	"errors"
	"time"

	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/request/admitter"
	"sassafraspass.dev/sassafraspass/request/broker"
	"sassafraspass.dev/sassafraspass/request/ejector"
)

// startCalling begins to call the admitting daemon unless that is under way.
func (r *Requester) startCalling(service identifier.ServiceName, s *serviceState) {
	if s.isCalling {
		return
	}
	s.isCalling = true
	go r.callUntilIdle(service)
}

// callUntilIdle calls the admitting daemon as long as requests wait, one call after the
// other.
func (r *Requester) callUntilIdle(service identifier.ServiceName) {
	ctx := context.Background()
	nextAt := r.Clock.Now()
	for r.hasWork(service) {
		wait := r.Clock.Until(nextAt)
		if wait > 0 {
			repeater.Sleep(ctx, r.Clock, wait)
		}
		startedAt := r.Clock.Now()
		hasDecided := r.callOnce(ctx, service, startedAt)
		if !hasDecided {
			nextAt = startedAt.Add(minCallInterval)
		}
	}
}

// hasWork reports whether a call is needed. If not, calling has ended.
func (r *Requester) hasWork(service identifier.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	if len(s.waiting) > 0 {
		return true
	}
	for _, report := range s.ended {
		if report.Outcome == ejector.Rejected || report.Outcome == ejector.Failed {
			return true
		}
	}
	s.isCalling = false
	return false
}

// callOnce asks the candidates in turn until one responds. If none responds within
// callTimeout, the waiting requests get servers of this daemon's choice. It reports
// whether any request was decided.
func (r *Requester) callOnce(ctx context.Context, service identifier.ServiceName, startedAt time.Time) (hasDecided bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := r.Clock.AfterFunc(callTimeout, cancel)
	defer timer.Stop()
	for _, candidate := range r.Candidates(service) {
		if !r.mayCall(candidate) {
			continue
		}
		call, ended := r.buildCall(service)
		decisions, err := r.ask(ctx, candidate, call)
		if err == nil {
			return r.apply(service, candidate.Address, decisions)
		}
		r.handleFailure(service, candidate.Address, ended, err)
		if ctx.Err() != nil || r.Clock.Since(startedAt) >= callTimeout {
			break
		}
	}
	r.chooseOwn(service)
	return true
}

func (r *Requester) mayCall(candidate broker.Candidate) bool {
	if candidate.Address == "" {
		return true
	}
	r.mu.Lock()
	until := r.backoffs[candidate.Address].until
	r.mu.Unlock()
	return !r.Clock.Now().Before(until) && !candidate.IsSilent()
}

// ask calls a candidate. It returns at the end of the context even if the call does not.
func (r *Requester) ask(ctx context.Context, candidate broker.Candidate, call admitter.Call) ([]admitter.Decision, error) {
	if candidate.Address == "" {
		return r.Local(ctx, call), nil
	}
	r.Meter.CountEvent(meter.EventAdmissionCall)
	type result struct {
		decisions []admitter.Decision
		err       error
	}
	done := make(chan result, 1)
	go func() {
		decisions, err := r.Call(ctx, candidate.Address, call)
		done <- result{decisions, err}
	}()
	select {
	case res := <-done:
		return res.decisions, res.err
	case <-ctx.Done():
		return nil, context.DeadlineExceeded
	}
}

// buildCall returns the next call, which holds all that the admitting daemon needs to know
// of this one. ended holds the reports of ends in it, which are taken from the state.
func (r *Requester) buildCall(service identifier.ServiceName) (call admitter.Call, ended []endedReport) {
	call = admitter.Call{Caller: r.Self, Zone: r.Zone, Service: service}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	s := r.service(service)
	for _, pending := range s.waiting {
		call.Items = append(call.Items, pending.item(now))
	}
	for _, report := range s.ended {
		report.Age = now.Sub(report.endedAt)
		if report.Age <= maxReportAge {
			call.Reports = append(call.Reports, report.Report)
			ended = append(ended, report)
		}
	}
	for number, running := range s.running {
		call.Reports = append(call.Reports, admitter.Report{Number: number, Upstream: running.upstream, Outcome: admitter.Running, Age: now.Sub(running.sentAt)})
	}
	s.ended = nil
	return call, ended
}

func (p *pendingRequest) item(now time.Time) admitter.Item {
	item := admitter.Item{
		Number:     p.number,
		Workspace:  p.request.Workspace,
		Priority:   p.request.Priority,
		ToDeadline: p.request.Deadline.Sub(now),
		Avoid:      p.request.Avoid(),
	}
	item.ToObjective = item.ToDeadline
	if !p.request.Objective.IsZero() {
		item.ToObjective = p.request.Objective.Sub(now)
	}
	return item
}

// handleFailure backs off from a daemon that did not respond, and keeps the reports for
// the next one.
func (r *Requester) handleFailure(service identifier.ServiceName, address identifier.Address, ended []endedReport, err error) {
	r.Log.Info("The daemon that admits requests did not respond.", "service", service, "daemon", address, "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	length := min(max(2*r.backoffs[address].length, unreachableBackoff), maxBackoff)
	if errors.Is(err, messenger.ErrNotOffered) {
		length = notOfferedBackoff
	}
	r.backoffs[address] = backoff{until: r.Clock.Now().Add(length), length: length}
	s := r.service(service)
	s.ended = append(ended, s.ended...)
	s.ended = s.ended[max(0, len(s.ended)-maxReports):]
}

// apply hands the decisions to the waiting requests. A server that was assigned to a
// request that no longer waits is free again with the next call, which does not name the
// request.
func (r *Requester) apply(service identifier.ServiceName, address identifier.Address, decisions []admitter.Decision) (hasDecided bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.backoffs, address)
	s := r.service(service)
	now := r.Clock.Now()
	for _, decision := range decisions {
		pending := s.takeWaiting(decision.Number)
		if pending == nil {
			continue
		}
		hasDecided = true
		if decision.Upstream != "" {
			s.running[decision.Number] = runningRequest{upstream: decision.Upstream, sentAt: now}
		}
		pending.decision <- decision
	}
	return hasDecided
}

func (s *serviceState) takeWaiting(number int64) *pendingRequest {
	for i, pending := range s.waiting {
		if pending.number == number {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return pending
		}
	}
	return nil
}

// chooseOwn lets this daemon choose the servers of all waiting requests.
func (r *Requester) chooseOwn(service identifier.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	for _, pending := range s.waiting {
		pending.decision <- admitter.Decision{}
	}
	s.waiting = nil
	// No daemon can be told about rejections now.
	s.ended = nil
}
