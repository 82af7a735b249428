package sharer

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
)

const testMaxAge = 10 * time.Minute

// testDaemon is a daemon with a sharer. It collects evidence without deciding on it.
type testDaemon struct {
	*Sharer
	clock     *clockwork.FakeClock
	isHub     bool
	isPlacing bool
	evidence  map[identifier.PromptPartID]quarantiner.Suspicion
	// adoptions counts the suspicions that were adopted.
	adoptions     int
	announcements int
}

// newTestDaemon returns a daemon whose clock shows a time of its own.
func newTestDaemon(clockOffset time.Duration) *testDaemon {
	d := &testDaemon{
		Sharer:   New(),
		clock:    clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0).Add(clockOffset)),
		evidence: make(map[identifier.PromptPartID]quarantiner.Suspicion),
	}
	d.Services = func() []identifier.ServiceName { return []identifier.ServiceName{"llm"} }
	d.IsHub = func() bool { return d.isHub }
	d.IsPlacing = func(identifier.ServiceName) bool { return d.isPlacing }
	d.Suspicions = func(identifier.ServiceName) (suspicions []quarantiner.Suspicion) {
		for _, suspicion := range d.evidence {
			suspicions = append(suspicions, suspicion)
		}
		return suspicions
	}
	d.Adopt = func(_ identifier.ServiceName, suspicions []quarantiner.Suspicion) {
		for _, suspicion := range suspicions {
			d.adoptions++
			d.evidence[suspicion.Part] = suspicion
		}
	}
	d.MaxAge = testMaxAge
	d.Clock = d.clock
	d.Announce = func() { d.announcements++ }
	d.Log = logger.Discard()
	d.Meter = meter.NewNoop()
	return d
}

// crash records a crash for a request with a part.
func (d *testDaemon) crash(part identifier.PromptPartID) {
	suspicion := d.evidence[part]
	d.evidence[part] = quarantiner.Suspicion{Part: part, Crashes: suspicion.Crashes + 1, Requests: suspicion.Requests + 1, LastCrash: d.clock.Now()}
}

func (d *testDaemon) quarantine(part identifier.PromptPartID) {
	suspicion := d.evidence[part]
	suspicion.Quarantined = true
	d.evidence[part] = suspicion
}

// sendTo sends a heartbeat to another daemon and handles its response.
func (d *testDaemon) sendTo(other *testDaemon) {
	other.HandleReport(d.Report())
	d.HandleReport(other.Report())
}

// TestWhicheverDaemonPlacesNextKnowsTheEvidence guards against engines that crash
// again because the daemon that knew the part was killed.
func TestWhicheverDaemonPlacesNextKnowsTheEvidence(t *testing.T) {
	is := is.New(t)
	first, second, joining := newTestDaemon(0), newTestDaemon(-time.Hour), newTestDaemon(time.Hour)
	first.isPlacing = true
	first.crash("bad")
	first.crash("bad")
	first.quarantine("bad")
	first.crash("suspect")
	second.sendTo(first)
	want := first.evidence["bad"]
	want.LastCrash = second.clock.Now()
	is.Equal(second.evidence["bad"], want)
	is.Equal(second.evidence["suspect"].Crashes, 1)

	second.isPlacing = true // the first daemon is gone
	joining.sendTo(second)
	is.True(joining.evidence["bad"].Quarantined)
	is.Equal(joining.evidence["suspect"].Crashes, 1)
}

// TestEvidenceOfFallbackReachesThePlacingDaemon guards against crashes that do not
// count because another daemon placed the requests while the first one was silent, or
// because the daemon that placed them is leaving.
func TestEvidenceOfFallbackReachesThePlacingDaemon(t *testing.T) {
	is := is.New(t)
	placing, fallback := newTestDaemon(0), newTestDaemon(0)
	placing.isPlacing = true
	placing.crash("bad")
	fallback.sendTo(placing)
	fallback.crash("bad")
	fallback.crash("other")
	placing.sendTo(fallback)
	is.Equal(placing.evidence["bad"].Crashes, 2)
	is.Equal(placing.evidence["other"].Crashes, 1)
	fallback.sendTo(placing)
	is.Equal(len(fallback.Report()), 0) // the placing daemon reports it from now on
	fallback.quarantine("bad")
	is.Equal(len(fallback.Report()), 1)
}

// TestHubTellsOfEvidenceThatThePlacingDaemonCannot guards against a daemon that restarts
// within the time in which the others still count on the one that was killed, and then
// places requests without the evidence.
func TestHubTellsOfEvidenceThatThePlacingDaemonCannot(t *testing.T) {
	is := is.New(t)
	killed, hub, restarted := newTestDaemon(0), newTestDaemon(0), newTestDaemon(0)
	killed.isPlacing, hub.isHub = true, true
	killed.crash("bad")
	killed.quarantine("bad")
	killed.crash("suspect")
	killed.evidence["sound"] = quarantiner.Suspicion{Part: "sound", LastCrash: killed.clock.Now()}
	hub.sendTo(killed)
	restarted.sendTo(hub)
	is.True(restarted.evidence["bad"].Quarantined)
	is.Equal(restarted.evidence["suspect"].Crashes, 1)
	is.Equal(len(hub.Report()), 2) // hubs leave it to the placing daemon to tell what was cleared
	restarted.isPlacing = true
	for range 3 {
		restarted.sendTo(hub)
	}
	is.Equal(hub.adoptions, 3)
	is.Equal(restarted.adoptions, 2)
}

func TestOtherDaemonsDoNotRepeatTheEvidence(t *testing.T) {
	is := is.New(t)
	placing, other := newTestDaemon(0), newTestDaemon(0)
	placing.isPlacing = true
	placing.crash("bad")
	for range 3 {
		other.sendTo(placing)
		is.Equal(len(other.Report()), 0)
		is.Equal(len(placing.Report()), 1)
	}
	is.Equal(other.adoptions, 1)
	is.Equal(placing.adoptions, 0)
}

// TestOlderEvidenceDoesNotOverrideThePlacingDaemons guards against a daemon that was
// frozen or cut off and still thinks that it places requests.
func TestOlderEvidenceDoesNotOverrideThePlacingDaemons(t *testing.T) {
	is := is.New(t)
	placing, frozen, adopting := newTestDaemon(0), newTestDaemon(0), newTestDaemon(0)
	placing.isPlacing, frozen.isPlacing, adopting.isPlacing = true, true, true
	frozen.crash("a")
	frozen.quarantine("a")
	adopting.sendTo(frozen)
	for _, d := range []*testDaemon{placing, frozen, adopting} {
		d.clock.Advance(time.Minute)
	}
	for _, d := range []*testDaemon{placing, adopting} {
		delete(d.evidence, "a")
		d.crash("a") // no longer quarantined
		d.crash("b")
		want := d.evidence["a"]
		for range 3 {
			d.HandleReport(frozen.Report())
			is.Equal(d.evidence["a"], want)
			is.Equal(len(d.evidence), 2)
		}
	}
	placing.crash("a")
	frozen.HandleReport(placing.Report())
	is.Equal(frozen.evidence["a"].Crashes, 2)
	is.Equal(frozen.evidence["b"].Crashes, 1)
}

// TestRefutedEvidenceIsNotAdoptedAgain guards against a sound part that stays under
// suspicion because other daemons repeat what the placing daemon has dropped.
func TestRefutedEvidenceIsNotAdoptedAgain(t *testing.T) {
	is := is.New(t)
	placing, fallback := newTestDaemon(0), newTestDaemon(0)
	placing.isPlacing = true
	fallback.crash("sound")
	placing.HandleReport(fallback.Report())
	is.Equal(len(placing.evidence), 1)
	delete(placing.evidence, "sound") // a request with the part began its output
	placing.HandleReport(fallback.Report())
	is.Equal(len(placing.evidence), 0)
	fallback.clock.Advance(minAgeDifference)
	placing.clock.Advance(minAgeDifference)
	fallback.crash("sound")
	placing.HandleReport(fallback.Report())
	is.Equal(len(placing.evidence), 1)
}

// TestClearedPartIsClearedEverywhere guards against a sound part that is held back again
// when another daemon begins to place requests.
func TestClearedPartIsClearedEverywhere(t *testing.T) {
	is := is.New(t)
	placing, other := newTestDaemon(0), newTestDaemon(0)
	placing.isPlacing = true
	placing.crash("sound")
	report := placing.Report()
	other.clock.Advance(time.Second) // the heartbeat takes this long
	other.HandleReport(report)
	crashedAt := other.evidence["sound"].LastCrash
	placing.evidence["sound"] = quarantiner.Suspicion{Part: "sound", LastCrash: placing.evidence["sound"].LastCrash}
	placing.clock.Advance(1100 * time.Millisecond)
	other.clock.Advance(100 * time.Millisecond)
	other.HandleReport(placing.Report())
	is.Equal(other.evidence["sound"].Crashes, 0)
	is.True(!other.evidence["sound"].LastCrash.Before(crashedAt)) // clears the crash as this daemon knows it
	is.Equal(len(other.Report()), 0)
	placing.clock.Advance(maxClearedAge)
	is.Equal(len(placing.Report()), 0)
}

// TestAgesOfRelayedCrashesAddUp guards against evidence that never expires because two
// daemons that both place requests keep telling each other about it.
func TestAgesOfRelayedCrashesAddUp(t *testing.T) {
	is := is.New(t)
	a, b := newTestDaemon(0), newTestDaemon(-time.Hour)
	a.isPlacing, b.isPlacing = true, true
	a.crash("bad")
	crashedAt := a.clock.Now()
	const delay = time.Second // of each heartbeat
	for range 100 {
		for _, pair := range [][2]*testDaemon{{a, b}, {b, a}} {
			report := pair[0].Report()
			a.clock.Advance(delay)
			b.clock.Advance(delay)
			pair[1].HandleReport(report)
		}
	}
	is.Equal(a.evidence["bad"].LastCrash, crashedAt)
	is.True(b.clock.Since(b.evidence["bad"].LastCrash) >= a.clock.Since(crashedAt)-delay)
}

// TestFrozenDaemonDoesNotMakeACrashLookNew guards against a crash that counts twice,
// because a daemon that was frozen handles a heartbeat late and reports the crash as
// newer than it is.
func TestFrozenDaemonDoesNotMakeACrashLookNew(t *testing.T) {
	is := is.New(t)
	placing, frozen := newTestDaemon(0), newTestDaemon(0)
	placing.isPlacing = true
	frozen.isHub = true
	placing.crash("suspect")
	placing.crash("bad")
	placing.quarantine("bad")
	want := maps.Clone(placing.evidence)
	report := placing.Report()
	placing.clock.Advance(10 * time.Second)
	frozen.clock.Advance(10 * time.Second)
	frozen.HandleReport(report)
	is.Equal(len(frozen.evidence), 2)
	placing.sendTo(frozen)
	is.Equal(placing.evidence, want)
	is.Equal(frozen.adoptions, 2)

	placing.clock.Advance(minAgeDifference)
	frozen.clock.Advance(minAgeDifference)
	placing.evidence["bad"] = quarantiner.Suspicion{Part: "bad", Crashes: 1, Requests: 1, LastCrash: placing.clock.Now()}
	placing.sendTo(frozen)
	is.Equal(frozen.evidence["bad"].LastCrash, placing.clock.Now()) // a new crash after that
}

func TestExpiredEvidenceIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(0)
	d.HandleReport([]heartbeater.Suspicion{
		{Service: "llm", Part: "old", Crashes: 5, Requests: 5, Age: testMaxAge + time.Second, Quarantined: true},
		{Service: "llm", Part: "new", Crashes: 1, Requests: 1, Age: testMaxAge},
		{Service: "llm", Part: "future", Crashes: 1, Requests: 1, Age: -time.Second},
	})
	is.Equal(len(d.evidence), 2)
	is.Equal(d.evidence["future"].LastCrash, d.clock.Now())
}

// TestHeartbeatCarriesTheStrongestEvidence guards against heartbeats that grow without
// limit when an engine crashes with many requests on board.
func TestHeartbeatCarriesTheStrongestEvidence(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(0)
	d.isPlacing = true
	d.crash("old-and-quarantined")
	d.quarantine("old-and-quarantined")
	d.crash("twice")
	for i := range 2 * maxReported {
		d.clock.Advance(time.Second)
		d.crash(identifier.PromptPartID(fmt.Sprintf("part-%03d", i)))
	}
	d.crash("twice")
	report := d.Report()
	is.Equal(len(report), maxReported)
	is.Equal(report[0].Part, identifier.PromptPartID("old-and-quarantined"))
	is.Equal(report[1].Part, identifier.PromptPartID("twice"))
	is.Equal(report[2].Part, identifier.PromptPartID(fmt.Sprintf("part-%03d", 2*maxReported-1)))
}
