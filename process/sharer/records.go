package sharer

import (
	"context"
	"errors"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
)

const (
	// storeRetryDelay is the pause after a failed access to the store.
	storeRetryDelay = time.Second
	// checkInterval is how often Run checks for which services this daemon places
	// requests, and which of their quarantined parts are not stored.
	checkInterval = 200 * time.Millisecond
	// minReadInterval is the time within which a successful read is not repeated.
	minReadInterval = 2 * time.Second
)

// Record is the stored record of a quarantined part. The time of its newest crash was
// taken from the clock of the daemon that stored it.
type Record struct {
	Service   identifier.ServiceName
	Suspicion quarantiner.Suspicion
}

// RecordBatch is the result of reading the records.
type RecordBatch struct {
	Records []Record
	// ParseErrors holds an error for each record that could not be parsed.
	ParseErrors []error
}

// HandleQuarantine tells the other daemons of a part that was quarantined, and has it
// stored. It does not block.
func (s *Sharer) HandleQuarantine(identifier.ServiceName, quarantiner.Suspicion) {
	s.Announce()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// HandleLoss says that stored records may be gone, so that those of the services whose
// requests this daemon places are read and stored again. It does not block.
func (s *Sharer) HandleLoss() {
	s.isStoreLost.Store(true)
}

// storedRecords is what Run knows about the records in the store.
type storedRecords struct {
	isReadDue bool
	readAt    time.Time
	// wasPlacing holds the services whose requests this daemon placed at the last
	// check.
	wasPlacing map[identifier.ServiceName]bool
	// suspicions holds the evidence in the record of each part.
	suspicions map[partKey]quarantiner.Suspicion
}

func newStoredRecords() *storedRecords {
	return &storedRecords{isReadDue: true, wasPlacing: make(map[identifier.ServiceName]bool), suspicions: make(map[partKey]quarantiner.Suspicion)}
}

// Run reads the records at the start and when this daemon begins to place a service's
// requests, and then stores the changes of the service's quarantined parts, until the
// context ends. What fails is retried.
func (s *Sharer) Run(ctx context.Context) error {
	stored := newStoredRecords()
	isUnreachable := false
	for ctx.Err() == nil {
		err := s.checkRecords(ctx, stored)
		if err != nil && ctx.Err() == nil {
			if !isUnreachable {
				s.Log.Warn("The records of quarantined parts are out of reach.", "err", err)
			}
			isUnreachable = true
			repeater.Sleep(ctx, s.Clock, storeRetryDelay)
			continue
		}
		isUnreachable = false
		select {
		case <-s.wake:
		case <-s.Clock.After(checkInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// checkRecords reads the records if that is due, and stores what has changed.
func (s *Sharer) checkRecords(ctx context.Context, stored *storedRecords) error {
	services := s.Services()
	placing := make(map[identifier.ServiceName]bool)
	isStoreLost := s.isStoreLost.Swap(false)
	for _, service := range services {
		placing[service] = s.IsPlacing(service)
		stored.isReadDue = stored.isReadDue || placing[service] && (isStoreLost || !stored.wasPlacing[service])
	}
	if isStoreLost {
		stored.readAt = time.Time{}
	}
	stored.wasPlacing = placing
	requestedAt := s.Clock.Now()
	if stored.isReadDue && (stored.readAt.IsZero() || requestedAt.Sub(stored.readAt) >= minReadInterval) {
		err := s.readRecords(ctx, stored)
		if err != nil {
			s.Meter.CountRetry(meter.RetryLogRead)
			return err
		}
		stored.readAt = requestedAt
	}
	stored.isReadDue = false
	var errs []error
	for _, service := range services {
		if placing[service] {
			errs = append(errs, s.storeChanges(ctx, service, stored))
		}
	}
	return errors.Join(errs...)
}

// readRecords reads the records and adopts those that have not expired.
func (s *Sharer) readRecords(ctx context.Context, stored *storedRecords) error {
	batch, err := s.ReadRecords(ctx)
	if err != nil {
		return err
	}
	for _, parseErr := range batch.ParseErrors {
		s.Meter.CountEvent(meter.EventMalformedRecord)
		s.Log.Warn("The record of a quarantined part cannot be parsed.", "err", parseErr)
	}
	now := s.Clock.Now()
	clear(stored.suspicions)
	byService := make(map[identifier.ServiceName][]quarantiner.Suspicion)
	for _, record := range batch.Records {
		// The clock of the daemon that stored the record may be ahead.
		age := max(0, now.Sub(record.Suspicion.LastCrash))
		suspicion := record.Suspicion
		suspicion.LastCrash = now.Add(-age)
		stored.suspicions[partKey{record.Service, suspicion.Part}] = suspicion
		if age <= s.MaxAge {
			byService[record.Service] = append(byService[record.Service], suspicion)
		}
	}
	for service, suspicions := range byService {
		s.adopt(service, suspicions)
	}
	return nil
}

// storeChanges appends a record for each part of a service that was quarantined, or
// crashed an engine again, since its record was stored. It drops the records of the
// parts that are no longer quarantined, or only for crashes that have expired.
func (s *Sharer) storeChanges(ctx context.Context, service identifier.ServiceName, stored *storedRecords) error {
	var errs []error
	isQuarantined := make(map[identifier.PromptPartID]bool)
	suspicions := s.Suspicions(service)
	for _, suspicion := range suspicions {
		if !suspicion.Quarantined || s.Clock.Since(suspicion.LastCrash) > s.MaxAge {
			continue
		}
		isQuarantined[suspicion.Part] = true
		key := partKey{service, suspicion.Part}
		old, isStored := stored.suspicions[key]
		if isStored && !isNews(suspicion, old) {
			continue
		}
		err := s.AppendRecord(ctx, Record{Service: service, Suspicion: suspicion})
		errs = append(errs, s.countFailure(err))
		if err == nil {
			stored.suspicions[key] = suspicion
		}
	}
	// Suspicions leaves out quarantined parts only after all others.
	isComplete := len(suspicions) < maxReported || len(isQuarantined) < len(suspicions)
	for key := range stored.suspicions {
		if key.service != service || isQuarantined[key.part] || !isComplete {
			continue
		}
		err := s.DropRecord(ctx, service, key.part)
		errs = append(errs, s.countFailure(err))
		if err == nil {
			delete(stored.suspicions, key)
		}
	}
	return errors.Join(errs...)
}

func (s *Sharer) countFailure(err error) error {
	if err != nil {
		s.Meter.CountRetry(meter.RetryAppend)
	}
	return err
}
