// Package follower keeps the newest configuration version that a daemon knows.
// The daemon learns versions from the records of the log, from snapshots and from
// peers.
package follower

import (
	"sync"
	"sync/atomic"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

// maxRecentRecords limits the records that are kept for peers that are behind.
const maxRecentRecords = 256

// Follower holds the version in force, which is the one that this daemon applies
// to requests. The version's number never decreases.
type Follower struct {
	// OnChange is called with each new version, in order.
	OnChange func(*reducer.Version)

	assert *asserter.Asserter
	meter  *meter.Meter

	// current is read without mu. Only setVersion changes it.
	current atomic.Pointer[reducer.Version]
	// mu serializes changes of the version.
	mu      sync.Mutex
	reducer *reducer.Reducer
	// recentRecords holds the records that were applied last, oldest first.
	recentRecords []appender.Record
}

// New returns a Follower at the empty version, which precedes the first record.
func New(assert *asserter.Asserter, m *meter.Meter) *Follower {
	version := reducer.NewVersion()
	f := &Follower{
		OnChange: func(*reducer.Version) {},
		assert:   assert,
		meter:    m,
		reducer:  reducer.New(version),
	}
	f.current.Store(version)
	return f
}

// Version returns the version in force.
func (f *Follower) Version() *reducer.Version {
	return f.current.Load()
}

// NextOffset returns the offset of the record to read next.
func (f *Follower) NextOffset() identifier.Offset {
	return f.Version().Number + 1
}

// Handle applies the record that directly follows the version in force. It
// ignores all others.
func (f *Follower) Handle(record appender.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record.Offset != f.NextOffset() {
		return
	}
	malformedBefore := f.Version().MalformedRecords
	outcome := f.reducer.Apply(record.Offset, record.Data)
	version := f.reducer.Version()
	if version.MalformedRecords > malformedBefore {
		f.meter.CountEvent(meter.EventMalformedRecord)
	} else if !outcome.Accepted {
		f.meter.CountEvent(meter.EventRejectedRecord)
	}
	f.recentRecords = append(f.recentRecords, record)
	if len(f.recentRecords) > maxRecentRecords {
		f.recentRecords = f.recentRecords[1:]
	}
	f.setVersion(version)
}

// Install replaces the version in force with one from a snapshot or a
// peer, if that is newer.
func (f *Follower) Install(version *reducer.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version.Number <= f.Version().Number {
		return
	}
	f.reducer = reducer.New(version)
	f.recentRecords = nil
	f.setVersion(version)
}

// RecordsAfter returns the applied records after an offset, for a peer that is
// behind. ok is false unless all of them are kept.
func (f *Follower) RecordsAfter(offset identifier.Offset) (records []appender.Record, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.recentRecords) == 0 || f.recentRecords[0].Offset > offset+1 {
		return nil, false
	}
	for _, record := range f.recentRecords {
		if record.Offset > offset {
			records = append(records, record)
		}
	}
	return records, true
}

// setVersion puts a newer version in force. The caller holds mu.
func (f *Follower) setVersion(version *reducer.Version) {
	previous := f.Version().Number
	f.assert.That(version.Number > previous, asserter.VersionMonotonic, "before", previous, "after", version.Number)
	if version.Number <= previous {
		return
	}
	f.current.Store(version)
	f.OnChange(version)
}
