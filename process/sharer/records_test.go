package sharer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
)

// testStore holds records and counts the calls.
type testStore struct {
	mu                    sync.Mutex
	records               map[partKey]Record
	reads, appends, drops int
	// err is the result of every call, if it is not nil.
	err error
}

var errStoreAway = errors.New("the store is away")

func newTestStore() *testStore {
	return &testStore{records: make(map[partKey]Record)}
}

func (s *testStore) use(d *testDaemon) *storedRecords {
	d.ReadRecords = func(context.Context) (batch RecordBatch, err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reads++
		for _, record := range s.records {
			batch.Records = append(batch.Records, record)
		}
		return batch, s.err
	}
	d.AppendRecord = func(_ context.Context, record Record) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.appends++
		if s.err == nil {
			s.records[partKey{record.Service, record.Suspicion.Part}] = record
		}
		return s.err
	}
	d.DropRecord = func(_ context.Context, service identifier.ServiceName, part identifier.PromptPartID) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.drops++
		if s.err == nil {
			delete(s.records, partKey{service, part})
		}
		return s.err
	}
	return newStoredRecords()
}

// newPlacingDaemon returns a daemon that places the requests and stores its records.
func newPlacingDaemon() (store *testStore, d *testDaemon, stored *storedRecords) {
	store = newTestStore()
	d = newTestDaemon(0)
	stored = store.use(d)
	d.isPlacing = true
	return store, d, stored
}

// counts returns the number of calls of each kind.
func (s *testStore) counts() [3]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return [3]int{s.reads, s.appends, s.drops}
}

func (s *testStore) setErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// TestQuarantineOutlastsAllDaemons guards against a fleet whose daemons were all killed
// at once and that crashes as many engines again to learn the same part.
func TestQuarantineOutlastsAllDaemons(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newTestStore()
	killed := newTestDaemon(0)
	stored := store.use(killed)
	killed.isPlacing = true
	killed.crash("bad")
	killed.crash("bad")
	killed.crash("suspect")
	killed.quarantine("bad")
	is.NoErr(killed.checkRecords(ctx, stored))
	is.Equal(len(store.records), 1)

	started := newTestDaemon(time.Minute)
	is.NoErr(started.checkRecords(ctx, store.use(started)))
	is.Equal(len(started.evidence), 1)
	got := started.evidence["bad"]
	is.True(got.Quarantined)
	is.Equal(got.Crashes, 2)
	is.Equal(started.clock.Since(got.LastCrash), time.Minute)

	behind := newTestDaemon(-time.Minute) // its clock, that is
	is.NoErr(behind.checkRecords(ctx, store.use(behind)))
	is.Equal(behind.evidence["bad"].LastCrash, behind.clock.Now())
}

// TestStoreIsCalledOnlyOnChanges guards against polling: each call of the store is
// priced.
func TestStoreIsCalledOnlyOnChanges(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newTestStore()
	d := newTestDaemon(0)
	stored := store.use(d)
	check := func() {
		for range 20 {
			d.clock.Advance(checkInterval)
			is.NoErr(d.checkRecords(ctx, stored))
		}
	}
	check()
	is.Equal(store.counts(), [3]int{1, 0, 0}) // at the start
	d.crash("bad")
	d.quarantine("bad")
	check()
	is.Equal(store.counts(), [3]int{1, 0, 0}) // another daemon places the requests
	d.isPlacing = true
	check()
	is.Equal(store.counts(), [3]int{2, 1, 0}) // no record was found
	for i := range 2 {
		d.crash("bad")
		d.quarantine("bad")
		is.NoErr(d.checkRecords(ctx, stored))
		is.Equal(store.counts(), [3]int{2, 2 + i, 0}) // each further crash extends the quarantine
	}
	check()
	is.Equal(store.counts(), [3]int{2, 3, 0})
	delete(d.evidence, "bad")
	check()
	is.Equal(store.counts(), [3]int{2, 3, 1}) // it has ended
	is.Equal(len(store.records), 0)
	d.isPlacing = false
	check()
	d.isPlacing = true
	check()
	is.Equal(store.counts(), [3]int{3, 3, 1})
}

func TestDaemonThatPlacesSoonAfterItsStartReadsTheRecordsOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newTestStore()
	d := newTestDaemon(0)
	stored := store.use(d)
	is.NoErr(d.checkRecords(ctx, stored))
	d.clock.Advance(minReadInterval / 2)
	d.isPlacing = true
	is.NoErr(d.checkRecords(ctx, stored))
	is.Equal(store.counts(), [3]int{1, 0, 0})
}

// TestRecordsAreStoredOnceTheStoreIsBack guards against a quarantine that is lost
// because the store was away, and against a burst of calls while it is.
func TestRecordsAreStoredOnceTheStoreIsBack(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	store := newTestStore()
	store.setErr(errStoreAway)
	d := newTestDaemon(0)
	store.use(d)
	d.isPlacing = true
	d.crash("bad")
	d.quarantine("bad")
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	const failures = 3
	for i := range failures {
		is.NoErr(d.clock.BlockUntilContext(ctx, 1))
		is.Equal(store.counts(), [3]int{i + 1, 0, 0})
		d.HandleQuarantine("llm", d.evidence["bad"]) // does not block
		d.clock.Advance(storeRetryDelay / 2)
		is.NoErr(d.clock.BlockUntilContext(ctx, 1))
		is.Equal(store.counts(), [3]int{i + 1, 0, 0})
		if i == failures-1 {
			store.setErr(nil)
		}
		d.clock.Advance(storeRetryDelay / 2)
	}
	is.NoErr(d.clock.BlockUntilContext(ctx, 1))
	is.Equal(store.counts(), [3]int{failures + 1, 1, 0})
	is.Equal(d.announcements, failures)
	cancel()
	<-done
}

func TestFailedWriteIsRetried(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, d, stored := newPlacingDaemon()
	is.NoErr(d.checkRecords(ctx, stored))
	store.setErr(errStoreAway)
	d.crash("bad")
	d.quarantine("bad")
	is.True(errors.Is(d.checkRecords(ctx, stored), errStoreAway))
	store.setErr(nil)
	is.NoErr(d.checkRecords(ctx, stored))
	is.Equal(len(store.records), 1)
	store.setErr(errStoreAway)
	delete(d.evidence, "bad")
	is.True(errors.Is(d.checkRecords(ctx, stored), errStoreAway))
	store.setErr(nil)
	is.NoErr(d.checkRecords(ctx, stored))
	is.Equal(len(store.records), 0)
	is.Equal(store.counts(), [3]int{1, 2, 2})
}

// TestExpiredRecordsAreDroppedByThePlacingDaemon guards against a part that stays
// quarantined for good, and against records that pile up.
func TestExpiredRecordsAreDroppedByThePlacingDaemon(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newTestStore()
	d := newTestDaemon(0)
	stored := store.use(d)
	for part, age := range map[identifier.PromptPartID]time.Duration{"old": testMaxAge + time.Second, "new": testMaxAge - time.Minute} {
		store.records[partKey{"llm", part}] = Record{"llm", quarantiner.Suspicion{Part: part, Crashes: 2, LastCrash: d.clock.Now().Add(-age), Quarantined: true}}
	}
	is.NoErr(d.checkRecords(ctx, stored))
	is.Equal(len(d.evidence), 1)
	is.Equal(store.counts(), [3]int{1, 0, 0})
	d.isPlacing = true
	is.NoErr(d.checkRecords(ctx, stored))
	is.Equal(store.counts(), [3]int{1, 0, 1})
	is.Equal(len(store.records), 1)
	d.clock.Advance(2 * time.Minute)
	is.NoErr(d.checkRecords(ctx, stored))
	is.Equal(store.counts(), [3]int{1, 0, 2})
}

// TestRecordsOfPartsBeyondTheReportAreKept guards against records that are dropped
// although their parts are quarantined, because the list of evidence is limited.
func TestRecordsOfPartsBeyondTheReportAreKept(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, d, stored := newPlacingDaemon()
	for i := range maxReported + 1 {
		part := identifier.PromptPartID(fmt.Sprint(i))
		d.crash(part)
		d.quarantine(part)
	}
	is.NoErr(d.checkRecords(ctx, stored))
	delete(d.evidence, "0") // is left out of the list
	is.NoErr(d.checkRecords(ctx, stored))
	is.Equal(store.counts(), [3]int{1, maxReported + 1, 0})
}

// Guards against engines that crash again for a part whose record the store lost, after all
// daemons ended at once.
func TestLostRecordIsStoredAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, d, stored := newPlacingDaemon()
	d.crash("bad")
	d.crash("bad")
	d.quarantine("bad")
	is.NoErr(d.checkRecords(ctx, stored))
	clear(store.records)
	is.NoErr(d.checkRecords(ctx, stored))
	is.Equal(len(store.records), 0)
	d.HandleLoss()
	is.NoErr(d.checkRecords(ctx, stored))
	is.Equal(len(store.records), 1)
}
