package messenger

import (
	"time"

	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/request/limiter"
)

// neverAge represents confirmer.Never on the wire.
const neverAge = -1

func encodeHeartbeat(heartbeat heartbeater.Heartbeat) *peerv1.Beat {
	msg := &peerv1.Beat{
		Incarnation:     string(heartbeat.Incarnation),
		Vm:              string(heartbeat.VM),
		Zone:            string(heartbeat.Zone),
		PeerAddress:     string(heartbeat.Peer),
		CallerAddress:   string(heartbeat.Caller),
		OperatorAddress: string(heartbeat.Operator),
		State:           string(heartbeat.State),
		Drained:         heartbeat.Drained,
		Version:         int64(heartbeat.Version),
		Epoch:           int64(heartbeat.Epoch),
		LogAgeMs:        encodeAge(heartbeat.LogAge),
		Heard:           toStrings(heartbeat.Heard),
		Resumed:         toStrings(heartbeat.Resumed),
	}
	msg.Weight = heartbeat.Weight
	msg.Marks = encodeMarks(heartbeat.Marks)
	msg.Relay = encodeRelay(heartbeat.Relay)
	msg.Suspicions = encodeSuspicions(heartbeat.Suspicions)
	msg.Departures = encodeDepartures(heartbeat.Departures)
	msg.ZoneLoads = encodeZoneLoads(heartbeat.ZoneLoads)
	msg.LimitAccounts = encodeAccounts(heartbeat.LimitAccounts)
	for _, load := range heartbeat.Loads {
		msg.Loads = append(msg.Loads, &peerv1.EngineLoad{
			Upstream: string(load.Upstream),
			Running:  int64(load.Running),
			Tokens:   int64(load.Tokens),
		})
	}
	msg.ZoneLoads = append(msg.ZoneLoads, encodeContentions(heartbeat.Contentions)...)
	return msg
}

func decodeHeartbeat(msg *peerv1.Beat) heartbeater.Heartbeat {
	heartbeat := heartbeater.Heartbeat{
		Incarnation: identifier.Incarnation(msg.GetIncarnation()),
		VM:          identifier.VMName(msg.GetVm()),
		Zone:        identifier.ZoneName(msg.GetZone()),
		Peer:        identifier.Address(msg.GetPeerAddress()),
		Caller:      identifier.Address(msg.GetCallerAddress()),
		Operator:    identifier.Address(msg.GetOperatorAddress()),
		State:       heartbeater.State(msg.GetState()),
		Drained:     msg.GetDrained(),
		Version:     identifier.Offset(msg.GetVersion()),
		Epoch:       identifier.Position(msg.GetEpoch()),
		LogAge:      decodeAge(msg.GetLogAgeMs()),
		Heard:       fromStrings[identifier.Incarnation](msg.GetHeard()),
		Resumed:     fromStrings[identifier.AttemptID](msg.GetResumed()),
	}
	heartbeat.Weight = msg.GetWeight()
	heartbeat.Marks = decodeMarks(msg.GetMarks())
	heartbeat.Relay = decodeRelay(msg.GetRelay())
	heartbeat.Suspicions = decodeSuspicions(msg.GetSuspicions())
	heartbeat.Departures = decodeDepartures(msg.GetDepartures())
	heartbeat.ZoneLoads = decodeZoneLoads(msg.GetZoneLoads())
	heartbeat.LimitAccounts = decodeAccounts(msg.GetLimitAccounts())
	heartbeat.Contentions = decodeContentions(msg.GetZoneLoads())
	for _, load := range msg.GetLoads() {
		heartbeat.Loads = append(heartbeat.Loads, heartbeater.EngineLoad{
			Upstream: identifier.UpstreamName(load.GetUpstream()),
			Running:  int(load.GetRunning()),
			Tokens:   identifier.Tokens(load.GetTokens()),
		})
	}
	return heartbeat
}

// encodeAge converts the age of a confirmation or a crash to milliseconds. It rounds
// up, so that neither ever looks newer than it is.
func encodeAge(age time.Duration) int64 {
	if age == confirmer.Never {
		return neverAge
	}
	return age.Milliseconds() + 1
}

func decodeAge(millis int64) time.Duration {
	if millis == neverAge {
		return confirmer.Never
	}
	return time.Duration(millis) * time.Millisecond
}

func encodeBorrow(req limiter.BorrowRequest) *peerv1.BorrowRequest {
	return &peerv1.BorrowRequest{
		Incarnation:     string(req.Borrower),
		Epoch:           int64(req.Epoch),
		Workspace:       string(req.Workspace),
		Sequence:        req.Sequence,
		WantTokens:      int64(req.WantTokens),
		DemandPerSecond: req.Demand,
		ShareParts:      int64(req.Share),
		WaitedMs:        req.HeadWait.Milliseconds(),
	}
}

func decodeBorrow(msg *peerv1.BorrowRequest) limiter.BorrowRequest {
	return limiter.BorrowRequest{
		Borrower:   identifier.Incarnation(msg.GetIncarnation()),
		Epoch:      identifier.Position(msg.GetEpoch()),
		Workspace:  identifier.WorkspaceName(msg.GetWorkspace()),
		Sequence:   msg.GetSequence(),
		WantTokens: identifier.Tokens(msg.GetWantTokens()),
		Demand:     msg.GetDemandPerSecond(),
		Share:      identifier.PartsPerMillion(msg.GetShareParts()),
		HeadWait:   time.Duration(msg.GetWaitedMs()) * time.Millisecond,
	}
}

func encodeJournal(update JournalUpdate) *peerv1.JournalRequest {
	msg := &peerv1.JournalRequest{
		Incarnation: string(update.Incarnation),
		Whole:       update.IsSnapshot,
		Ended:       toStrings(update.Ended),
	}
	for _, attempt := range update.Started {
		msg.Begun = append(msg.Begun, &peerv1.JournalEntry{
			Attempt:  string(attempt.ID),
			Upstream: string(attempt.Upstream),
			Address:  string(attempt.Address),
		})
	}
	return msg
}

func decodeJournal(msg *peerv1.JournalRequest) JournalUpdate {
	update := JournalUpdate{
		Incarnation: identifier.Incarnation(msg.GetIncarnation()),
		IsSnapshot:  msg.GetWhole(),
		Ended:       fromStrings[identifier.AttemptID](msg.GetEnded()),
	}
	for _, entry := range msg.GetBegun() {
		update.Started = append(update.Started, Attempt{
			ID:       identifier.AttemptID(entry.GetAttempt()),
			Upstream: identifier.UpstreamName(entry.GetUpstream()),
			Address:  identifier.Address(entry.GetAddress()),
		})
	}
	return update
}

func toStrings[T ~string](values []T) []string {
	out := make([]string, 0, len(values))
	for _, value := range values {
		out = append(out, string(value))
	}
	return out
}

func fromStrings[T ~string](values []string) []T {
	out := make([]T, 0, len(values))
	for _, value := range values {
		out = append(out, T(value))
	}
	return out
}
