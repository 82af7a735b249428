package gateway

import (
	"maps"
	"sync"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
)

// topic names one of the topics of the log that this daemon follows.
type topic string

const (
	topicVersions  topic = "versions"
	topicUpstreams topic = "upstreams"
	topicEpochs    topic = "epochs"
)

// LogRead describes the last successful read of a topic.
type LogRead struct {
	// Era is that of the position to read next.
	Era identifier.Era `json:"era"`
	// From is the offset that was read from, -1 for the newest records, and Next the one
	// to read next.
	From identifier.Offset `json:"from"`
	Next identifier.Offset `json:"next"`
	// End is the offset after the newest record, as the log stated it.
	End   identifier.Offset `json:"end"`
	AgeMs int64             `json:"age-ms"`
	at    time.Time
}

// LogStatus is where this daemon stands in the log, as the operators' status shows it.
type LogStatus struct {
	Era   identifier.Era    `json:"era"`
	Reads map[topic]LogRead `json:"reads"`
}

// logReads records where this daemon stands in the log. It is safe for concurrent use.
type logReads struct {
	mu  sync.Mutex
	era identifier.Era
	// eraSince is when this daemon learned of the era.
	eraSince time.Time
	reads    map[topic]LogRead
}

func (l *logReads) setEra(era identifier.Era, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era > l.era {
		l.era, l.eraSince = era, now
	}
}

// record records a read. If it is the first one of a topic in a later era than before, isFirst
// is set, and took is the time since this daemon learned of the era.
func (l *logReads) record(name topic, from, next, end identifier.Position, at time.Time) (took time.Duration, isFirst bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reads == nil {
		l.reads = make(map[topic]LogRead)
	}
	before := l.reads[name].Era
	l.reads[name] = LogRead{Era: next.Era(), From: from.Offset(), Next: next.Offset(), End: end.Offset(), at: at}
	return at.Sub(l.eraSince), before > 0 && next.Era() > before
}

// status returns the reads with their ages as of now.
func (l *logReads) status(now time.Time) LogStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := LogStatus{Era: l.era, Reads: maps.Clone(l.reads)}
	for name, read := range status.Reads {
		read.AgeMs = now.Sub(read.at).Milliseconds()
		status.Reads[name] = read
	}
	return status
}

// recordRead records a read of a topic. If the log has not all records from there on, the
// topic is read anew, which is logged.
func (g *Gateway) recordRead(name topic, from, next, end identifier.Position, isTruncated bool) {
	took, isFirst := g.logReads.record(name, from, next, end, g.Clock.Now())
	log := logger.For(g.Log, logger.Config)
	if isFirst {
		log.Info("A topic was read after the log came back.", "topic", name, "next", next, "ms", took.Milliseconds())
	}
	if isTruncated {
		g.Meter.CountEvent(meter.EventReadAnew)
		log.Warn("The log has not all records from where this daemon stands; reading anew.", "topic", name, "from", from, "end", end)
	}
}

// watchEra logs what the log's responses say about its era.
func (g *Gateway) watchEra(deps fleet.Dependencies) {
	if g.drivers.WatchEra == nil {
		return
	}
	log := logger.For(deps.Log, logger.Config)
	g.drivers.WatchEra(EraWatcher{
		OnChange: func(before, now identifier.Era) {
			g.logReads.setEra(now, g.Clock.Now())
			if before == 0 {
				log.Info("The log states its era.", "era", now)
				return
			}
			deps.Meter.CountEvent(meter.EventLogEra)
			log.Warn("The log came back from an older copy.", "era-before", before, "era", now)
			// What this daemon has stored may be gone.
			g.sharer.HandleLoss()
			g.vmList.advanceRead(g.Clock.Now(), hubListInterval, g.listInterval())
		},
		OnInvalid: func(stated string, known identifier.Era) {
			deps.Meter.CountEvent(meter.EventInvalidEra)
			log.Warn("A response of the log states no valid era.", "stated", stated, "known", known)
		},
	})
}
