package messenger

import (
	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/evacuator"
)

// encodeEvacuations adds the evacuated zones to a relay. A daemon that knows nothing of
// them leaves has_evacuations unset, as a daemon of an earlier build does.
func encodeEvacuations(msg *peerv1.Relay, relay *evacuator.Relay) {
	if relay == nil {
		return
	}
	msg.HasEvacuations = true
	msg.EvacuationsOffset = int64(relay.NextPosition)
	msg.EvacuationsAgeMs = encodeAge(relay.Age)
	for _, evacuation := range relay.Evacuations {
		msg.Evacuations = append(msg.Evacuations, &peerv1.Evacuation{
			Zone: string(evacuation.Zone), Offset: int64(evacuation.Position), HeldMs: evacuation.HeldFor.Milliseconds(),
		})
	}
}

func decodeEvacuations(msg *peerv1.Relay) *evacuator.Relay {
	if !msg.GetHasEvacuations() {
		return nil
	}
	relay := &evacuator.Relay{NextPosition: identifier.Position(msg.GetEvacuationsOffset()), Age: decodeAge(msg.GetEvacuationsAgeMs())}
	for _, evacuation := range msg.GetEvacuations() {
		relay.Evacuations = append(relay.Evacuations, evacuator.Evacuation{
			Zone:     identifier.ZoneName(evacuation.GetZone()),
			Position: identifier.Position(evacuation.GetOffset()),
			HeldFor:  decodeAge(evacuation.GetHeldMs()),
		})
	}
	return relay
}
