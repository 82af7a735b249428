// Package sharer shares the evidence against prompt parts between the daemons. The
// daemon that places a service's requests collects the evidence, and the others keep
// a copy, so that whichever of them places next knows it. A record of each quarantined
// part is stored, so that it outlasts all daemons.
package sharer

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
)

const (
	// maxReported is the maximum number of suspicions in one heartbeat.
	maxReported = 32
	// minAgeDifference is the difference between the ages of two crashes from which on
	// they are different crashes although no more are counted. It exceeds the usual
	// freezes of a daemon: a crash looks newer than it is by the time for which the
	// heartbeat that reported it was not handled.
	minAgeDifference = 30 * time.Second
	// maxHeartbeatDelay is the same for daemons that are not frozen.
	maxHeartbeatDelay = 3 * time.Second
	// maxClearedAge is the age of the newest crash up to which other daemons are told
	// that a part was cleared. After that, they find it out themselves.
	maxClearedAge = 30 * time.Second
)

// Sharer exchanges the evidence with the other daemons. Set the exported fields
// before use. It is safe for concurrent use.
type Sharer struct {
	// Services returns the services whose requests are placed.
	Services func() []identifier.ServiceName
	// IsHub reports whether this daemon is a hub, to which all others send heartbeats.
	IsHub func() bool
	// IsPlacing reports whether this daemon places a service's requests.
	IsPlacing func(service identifier.ServiceName) bool
	// Suspicions returns this daemon's evidence, the quarantined parts first. It may
	// leave out some of the others if there are many. Adopt adds to the evidence.
	Suspicions func(service identifier.ServiceName) []quarantiner.Suspicion
	Adopt      func(service identifier.ServiceName, suspicions []quarantiner.Suspicion)

	// ReadRecords reads the stored records of quarantined parts. AppendRecord stores
	// one, and DropRecord deletes that of a part.
	ReadRecords  func(ctx context.Context) (RecordBatch, error)
	AppendRecord func(ctx context.Context, record Record) error
	DropRecord   func(ctx context.Context, service identifier.ServiceName, part identifier.PromptPartID) error
	// Announce sends heartbeats at once. It must not block.
	Announce func()

	// MaxAge is the age of the newest crash at which evidence expires.
	MaxAge time.Duration
	Clock  clockwork.Clock
	Log    *slog.Logger
	Meter  *meter.Meter

	// isStoreLost is set if stored records may be gone.
	isStoreLost atomic.Bool
	// wake makes Run check the records at once.
	wake chan struct{}

	mu sync.Mutex
	// received holds the newest evidence from other daemons.
	received map[partKey]quarantiner.Suspicion
}

// partKey identifies a part of the prompts of a service's requests.
type partKey struct {
	service identifier.ServiceName
	part    identifier.PromptPartID
}

// New returns a sharer. Its exported fields must be set before use.
func New() *Sharer {
	return &Sharer{received: make(map[partKey]quarantiner.Suspicion), wake: make(chan struct{}, 1)}
}

// Report returns the evidence for a heartbeat. Each hub reports the parts under
// suspicion, as the daemon that places the requests may have ended before it told a
// daemon that has just started or become a hub. The daemon that places the requests also
// reports the parts that were cleared. Otherwise only what exceeds the other daemons'
// reports is left, as there is at a daemon that placed requests for a while. If there is
// more than maxReported, the quarantined parts go first, then those with the most and
// with the newest crashes.
func (s *Sharer) Report() (report []heartbeater.Suspicion) {
	now := s.Clock.Now()
	isHub := s.IsHub()
	for _, service := range s.Services() {
		suspicions := s.Suspicions(service)
		if len(suspicions) == 0 {
			continue
		}
		isPlacing := s.IsPlacing(service)
		for _, suspicion := range suspicions {
			isExpected := isPlacing || isHub && !isCleared(suspicion)
			age := max(0, now.Sub(suspicion.LastCrash))
			isOutdated := age > s.MaxAge || isCleared(suspicion) && age > maxClearedAge
			if isOutdated || !isExpected && !s.exceedsReceived(service, suspicion) {
				continue
			}
			report = append(report, heartbeater.Suspicion{
				Service:     service,
				Part:        suspicion.Part,
				Crashes:     suspicion.Crashes,
				Requests:    suspicion.Requests,
				Age:         age,
				Quarantined: suspicion.Quarantined,
			})
		}
	}
	slices.SortFunc(report, compareReported)
	return report[:min(len(report), maxReported)]
}

func compareReported(a, b heartbeater.Suspicion) int {
	if a.Quarantined != b.Quarantined {
		if a.Quarantined {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part))
}

func (s *Sharer) exceedsReceived(service identifier.ServiceName, suspicion quarantiner.Suspicion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	received, ok := s.received[partKey{service, suspicion.Part}]
	return !ok || isNews(suspicion, received)
}

// HandleReport adopts the evidence in another daemon's heartbeat.
func (s *Sharer) HandleReport(report []heartbeater.Suspicion) {
	if len(report) == 0 {
		return
	}
	now := s.Clock.Now()
	s.forgetExpired(now)
	byService := make(map[identifier.ServiceName][]quarantiner.Suspicion)
	for _, reported := range report {
		if reported.Age > s.MaxAge {
			continue
		}
		byService[reported.Service] = append(byService[reported.Service], quarantiner.Suspicion{
			Part:        reported.Part,
			Crashes:     reported.Crashes,
			Requests:    reported.Requests,
			LastCrash:   now.Add(-max(0, reported.Age)),
			Quarantined: reported.Quarantined,
		})
	}
	for service, suspicions := range byService {
		s.adopt(service, suspicions)
	}
}

// adopt adopts evidence from elsewhere as far as it is new.
func (s *Sharer) adopt(service identifier.ServiceName, suspicions []quarantiner.Suspicion) {
	suspicions = s.recordReceived(service, suspicions)
	if len(suspicions) == 0 {
		return
	}
	held := make(map[identifier.PromptPartID]quarantiner.Suspicion)
	for _, suspicion := range s.Suspicions(service) {
		held[suspicion.Part] = suspicion
	}
	isPlacing := s.IsPlacing(service)
	var news []quarantiner.Suspicion
	for _, suspicion := range suspicions {
		own, isHeld := held[suspicion.Part]
		ownIsNewerBy := own.LastCrash.Sub(suspicion.LastCrash)
		isOlder := isHeld && ownIsNewerBy >= minAgeDifference
		switch {
		case isHeld && !isNews(suspicion, own), isOlder && isPlacing && suspicion.Crashes <= own.Crashes:
			continue
		case isHeld && isCleared(suspicion) && !isPlacing && ownIsNewerBy > 0 && ownIsNewerBy < maxHeartbeatDelay:
			// The crash that was cleared looks newer here only because of the time that
			// the heartbeats took.
			suspicion.LastCrash = own.LastCrash
		}
		news = append(news, suspicion)
	}
	if len(news) > 0 {
		s.Adopt(service, news)
	}
}

// isCleared reports whether a part is no longer under suspicion.
func isCleared(suspicion quarantiner.Suspicion) bool {
	return suspicion.Crashes == 0 && !suspicion.Quarantined
}

// isNews reports whether evidence says more than what is known: further crashes, or
// another decision on the known ones.
func isNews(suspicion, known quarantiner.Suspicion) bool {
	newer := suspicion.LastCrash.Sub(known.LastCrash)
	return suspicion.Crashes > known.Crashes || newer >= minAgeDifference ||
		suspicion.Quarantined && !known.Quarantined ||
		isCleared(suspicion) && !isCleared(known) && newer > -minAgeDifference
}

// recordReceived records evidence from elsewhere and returns what was not received
// before. The rest may have been refuted meanwhile, so it must not be adopted again.
func (s *Sharer) recordReceived(service identifier.ServiceName, suspicions []quarantiner.Suspicion) (news []quarantiner.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, suspicion := range suspicions {
		key := partKey{service, suspicion.Part}
		old, isKnown := s.received[key]
		if isKnown && !isNews(suspicion, old) {
			continue
		}
		news = append(news, suspicion)
		suspicion.Quarantined = suspicion.Quarantined || old.Quarantined && !isCleared(suspicion)
		s.received[key] = suspicion
	}
	return news
}

// forgetExpired forgets received evidence that is older than MaxAge.
func (s *Sharer) forgetExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.received, func(_ partKey, suspicion quarantiner.Suspicion) bool { return now.Sub(suspicion.LastCrash) > s.MaxAge })
}
