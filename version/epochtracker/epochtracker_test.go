package epochtracker

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
)

// record returns a proposal that was appended for a number and is read at a position.
func record(number, position identifier.Position, member identifier.Incarnation) Record {
	raw, _ := json.Marshal(Proposal{Number: &number, Members: []Member{{Incarnation: member}}})
	return Record{Position: position, Data: raw}
}

func at(era identifier.Era, offset identifier.Offset) identifier.Position {
	return identifier.NewPosition(era, offset)
}

// Guards against an epoch that was replaced long ago and comes back in force with an older
// copy of the log.
func TestEpochOfAnOlderCopyReplacesNone(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for offset, name := range []identifier.Incarnation{"a", "b", "c"} {
		is.NoErr(tracker.Handle(record(at(1, identifier.Offset(offset)), at(1, identifier.Offset(offset)), name)))
	}
	is.True(!tracker.IsLost())
	is.NoErr(tracker.Restart(record(at(1, 1), at(2, 1), "b"), at(2, 2)))
	is.Equal(tracker.Current().Members[0].Incarnation, identifier.Incarnation("c"))
	is.True(tracker.IsLost())
	is.Equal(tracker.NextPosition(), at(2, 2)) // where the next proposal is appended
	is.NoErr(tracker.Handle(record(at(2, 2), at(2, 2), "d")))
	is.Equal(tracker.Current().Number, at(2, 2))
	is.True(!tracker.IsLost())
}

// Guards against a proposal that the log carried out after it came back, as its offset was
// given out again, and that replaces a later epoch.
func TestProposalOfAnEarlierEraReplacesNoLaterEpoch(t *testing.T) {
	is := is.New(t)
	tracker := New()
	is.NoErr(tracker.Handle(record(at(2, 0), at(2, 0), "a")))
	err := tracker.Handle(record(at(1, 1), at(2, 1), "late"))
	is.True(err != nil)
	is.Equal(tracker.Current().Members[0].Incarnation, identifier.Incarnation("a"))
	is.NoErr(tracker.Handle(record(at(2, 2), at(2, 2), "b")))
}

// Guards against a daemon that has just started on the older copy and stays with its epoch.
func TestStartedDaemonLearnsTheLostEpochFromPeers(t *testing.T) {
	is := is.New(t)
	tracker := New()
	is.NoErr(tracker.Handle(record(at(1, 1), at(2, 1), "b")))
	tracker.Install(Epoch{Number: at(1, 2), Members: []Member{{Incarnation: "c"}}})
	is.Equal(tracker.Current().Members[0].Incarnation, identifier.Incarnation("c"))
	is.True(tracker.IsLost())
	is.NoErr(tracker.Handle(record(at(2, 2), at(2, 2), "d")))
	is.Equal(tracker.Current().Members[0].Incarnation, identifier.Incarnation("d"))
}

func TestProposalsWithoutANumberNeedTheNewestEpoch(t *testing.T) {
	is := is.New(t)
	tracker := New()
	propose := func(offset, basedOn identifier.Position) error {
		raw, _ := json.Marshal(Proposal{BasedOn: basedOn})
		return tracker.Handle(Record{Position: offset, Data: raw})
	}
	is.NoErr(propose(0, identifier.NoPosition))
	is.True(propose(1, identifier.NoPosition) != nil) // another proposal was first
	is.NoErr(propose(2, 0))
	is.Equal(tracker.Current().Number, identifier.Position(2))
}

// Guards against a fleet that is divided between two epochs with one number: one that the log
// has lost, and one whose proposal was carried out after it came back.
func TestOtherEpochWithTheNumberOfALostOneIsReplaced(t *testing.T) {
	other := record(at(1, 1), at(2, 1), "other")
	tests := []struct {
		name string
		read func(tracker *Tracker) error
	}{
		{"as the newest record", func(tracker *Tracker) error { return tracker.Restart(other, at(2, 2)) }},
		{"as the next record", func(tracker *Tracker) error {
			err := tracker.Restart(record(at(1, 0), at(2, 0), "a"), at(2, 1))
			_ = tracker.Handle(other)
			return err
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			holder, started := New(), New()
			for _, tracker := range []*Tracker{holder, started} {
				is.NoErr(tracker.Handle(record(at(1, 0), at(1, 0), "a")))
			}
			is.NoErr(holder.Handle(record(at(1, 1), at(1, 1), "lost")))
			is.NoErr(started.Restart(other, at(2, 2)))
			is.Equal(started.Current().Members[0].Incarnation, identifier.Incarnation("other"))
			is.NoErr(test.read(holder))
			is.True(holder.IsLost())
			for _, tracker := range []*Tracker{holder, started} {
				is.NoErr(tracker.Handle(record(at(2, 2), at(2, 2), "lost")))
				is.Equal(tracker.Current().Members[0].Incarnation, identifier.Incarnation("lost"))
				is.True(!tracker.IsLost())
			}
		})
	}
}
