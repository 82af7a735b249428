package evacuator

import (
	"maps"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

// lostHold is how long a zone stays evacuated after the log came back from an older copy
// that does not have its record, unless the operator writes to the zone again. It is
// twice the time within which lost records of servers are back. The newest records do
// not tell an evacuation that was lost from one that has ended since.
const lostHold = 4 * time.Second

// lostRecord is the record of an evacuation that the log did not have when an era began. The
// zone stays evacuated until a time.
type lostRecord struct {
	position identifier.Position
	era      identifier.Era
	until    time.Time
}

// dropLost removes the zones that were evacuated before the log came back from an older copy
// in an era, and whose records it did not have again within lostHold. The caller holds the
// lock.
func (e *Evacuator) dropLost(zones map[identifier.ZoneName]identifier.Position, era identifier.Era) {
	now := e.clock.Now()
	for zone, position := range zones {
		if position.Era() >= era {
			delete(e.lost, zone)
			continue
		}
		lost := e.lost[zone]
		if lost.position != position || lost.era != era {
			lost = lostRecord{position: position, era: era, until: now.Add(lostHold)}
			e.lost[zone] = lost
		}
		if !now.Before(lost.until) {
			delete(zones, zone)
		}
	}
	maps.DeleteFunc(e.lost, func(_ identifier.ZoneName, lost lostRecord) bool { return lost.era < era })
}

// addLost adds a zone whose record the log did not have when an era began, as another daemon
// said at a time. It stays evacuated no longer than there, and no longer than this daemon has
// held it. The caller holds the lock.
func (e *Evacuator) addLost(zones map[identifier.ZoneName]identifier.Position, evacuation Evacuation, era identifier.Era, sentAt time.Time) {
	_, isEvacuated := zones[evacuation.Zone]
	if isEvacuated || evacuation.Position.Era() >= era {
		return
	}
	zones[evacuation.Zone] = evacuation.Position
	known := e.lost[evacuation.Zone]
	if known.position != evacuation.Position || known.era != era {
		until := sentAt.Add(min(evacuation.HeldFor, lostHold))
		e.lost[evacuation.Zone] = lostRecord{position: evacuation.Position, era: era, until: until}
	}
}

// endHold ends the hold of a zone whose evacuation the operator ended, so that no relay begins
// it again. The caller holds the lock.
func (e *Evacuator) endHold(zones map[identifier.ZoneName]identifier.Position, end Change) {
	position, isEvacuated := zones[end.Zone]
	if isEvacuated && position.Era() < end.Position.Era() {
		e.lost[end.Zone] = lostRecord{position: position, era: end.Position.Era(), until: e.clock.Now()}
	}
}
