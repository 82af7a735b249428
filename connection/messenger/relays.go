package messenger

import (
	"time"

	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/abstainer"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// encodeMarks returns nil for the zero Marks, which are left out of a heartbeat. The
// revision of the roster is negative if only the daemons that are leaving are wanted, also
// if there is no copy yet.
func encodeMarks(marks heartbeater.Marks) *peerv1.Marks {
	if marks == (heartbeater.Marks{}) {
		return nil
	}
	roster := marks.Roster
	if marks.WantsLeavingOnly {
		roster = min(-1, -roster)
	}
	return &peerv1.Marks{RosterOf: string(marks.RosterOf), Roster: roster, Upstreams: int64(marks.Upstreams), RosterChanges: marks.AcceptsRosterChanges, Evacuations: int64(marks.Evacuations)}
}

func decodeMarks(msg *peerv1.Marks) heartbeater.Marks {
	if msg == nil {
		return heartbeater.Marks{}
	}
	return heartbeater.Marks{
		RosterOf:  identifier.Incarnation(msg.GetRosterOf()),
		Roster:    max(msg.GetRoster(), -msg.GetRoster()),
		Upstreams: identifier.Position(msg.GetUpstreams()),

		AcceptsRosterChanges: msg.GetRosterChanges(),
		Evacuations:          identifier.Position(msg.GetEvacuations()),
		WantsLeavingOnly:     msg.GetRoster() < 0,
	}
}

// encodeRelay converts a relay. Without an update of the upstreams, the message has
// identifier.NoPosition as UpstreamsOffset.
func encodeRelay(relay *heartbeater.Relay) *peerv1.Relay {
	if relay == nil {
		return nil
	}
	msg := &peerv1.Relay{UpstreamsOffset: int64(identifier.NoPosition), ZoneLoads: encodeZoneLoads(relay.ZoneLoads)}
	if relay.Roster != nil {
		msg.HasRoster = true
		msg.Roster = relay.Roster.Revision
		msg.RosterBase = relay.Roster.Base
		msg.Departed = toStrings(relay.Roster.Departed)
		for _, heartbeat := range relay.Roster.Members {
			msg.Members = append(msg.Members, encodeHeartbeat(heartbeat))
		}
	}
	encodeEvacuations(msg, relay.Evacuations)
	update := relay.Upstreams
	if update == nil {
		return msg
	}
	msg.UpstreamsOffset = int64(update.NextPosition)
	msg.UpstreamsAgeMs = encodeAge(update.Age)
	msg.UpstreamsWhole = update.IsSnapshot
	for _, entry := range update.Entries {
		msg.Upstreams = append(msg.Upstreams, &peerv1.Upstream{
			Name:       string(entry.Name),
			Service:    string(entry.Service),
			Address:    string(entry.Address),
			Zone:       string(entry.Zone),
			State:      string(entry.State),
			Role:       string(entry.Role),
			Slots:      int64(entry.Slots),
			BornUnixMs: entry.StartedAt.UnixMilli(),
			Offset:     int64(entry.Position),
			ColdMs:     entry.ColdLeft.Milliseconds(),
		})
	}
	for _, removal := range update.Removed {
		msg.Gone = append(msg.Gone, &peerv1.GoneUpstream{Name: string(removal.Name), Offset: int64(removal.Position)})
	}
	return msg
}

func decodeRelay(msg *peerv1.Relay) *heartbeater.Relay {
	if msg == nil {
		return nil
	}
	relay := &heartbeater.Relay{ZoneLoads: decodeZoneLoads(msg.GetZoneLoads())}
	if msg.GetHasRoster() {
		relay.Roster = &heartbeater.RosterUpdate{
			Revision: msg.GetRoster(),
			Base:     msg.GetRosterBase(),
			Departed: fromStrings[identifier.Incarnation](msg.GetDeparted()),
		}
		for _, heartbeat := range msg.GetMembers() {
			relay.Roster.Members = append(relay.Roster.Members, decodeHeartbeat(heartbeat))
		}
	}
	relay.Evacuations = decodeEvacuations(msg)
	nextPosition := identifier.Position(msg.GetUpstreamsOffset())
	if nextPosition == identifier.NoPosition {
		return relay
	}
	update := &registrar.Update{NextPosition: nextPosition, Age: decodeAge(msg.GetUpstreamsAgeMs()), IsSnapshot: msg.GetUpstreamsWhole()}
	for _, entry := range msg.GetUpstreams() {
		update.Entries = append(update.Entries, decodeUpstream(entry))
	}
	for _, removal := range msg.GetGone() {
		update.Removed = append(update.Removed, registrar.Removal{Name: identifier.UpstreamName(removal.GetName()), Position: identifier.Position(removal.GetOffset())})
	}
	relay.Upstreams = update
	return relay
}

func encodeDepartures(departures []abstainer.Departure) (msgs []*peerv1.Departure) {
	for _, departure := range departures {
		msgs = append(msgs, &peerv1.Departure{
			Upstream:   string(departure.Upstream),
			BornUnixMs: departure.StartedAt.UnixMilli(),
			AgeMs:      encodeAge(departure.Age),
		})
	}
	return msgs
}

func decodeDepartures(msgs []*peerv1.Departure) (departures []abstainer.Departure) {
	for _, msg := range msgs {
		departures = append(departures, abstainer.Departure{
			Upstream:  identifier.UpstreamName(msg.GetUpstream()),
			StartedAt: time.UnixMilli(msg.GetBornUnixMs()),
			Age:       decodeAge(msg.GetAgeMs()),
		})
	}
	return departures
}

func decodeUpstream(msg *peerv1.Upstream) registrar.Entry {
	return registrar.Entry{
		Name:      identifier.UpstreamName(msg.GetName()),
		Service:   identifier.ServiceName(msg.GetService()),
		Address:   identifier.Address(msg.GetAddress()),
		Zone:      identifier.ZoneName(msg.GetZone()),
		State:     registrar.State(msg.GetState()),
		Role:      parser.Role(msg.GetRole()),
		Slots:     int(msg.GetSlots()),
		StartedAt: time.UnixMilli(msg.GetBornUnixMs()),
		Position:  identifier.Position(msg.GetOffset()),
		ColdLeft:  time.Duration(min(max(msg.GetColdMs(), 0), maxColdMs)) * time.Millisecond,
	}
}

// maxColdMs limits how long a relayed upstream is cold, so that the end of that time cannot
// overflow.
const maxColdMs = 10 * 60 * 1000
