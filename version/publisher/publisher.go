// Package publisher appends publications to the log and waits until they are in
// force on all daemons. Publishing is idempotent: it may be interrupted at any point
// and repeated.
package publisher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/decoder"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
	"sassafraspass.dev/sassafraspass/version/snapshotter"
)

const (
	callTimeout   = 3 * time.Second
	retryInterval = 200 * time.Millisecond
	pollInterval  = 50 * time.Millisecond
	readBatchSize = 1000
)

// RejectedError reports that a publication is in the log, but was rejected.
type RejectedError struct {
	Outcome reducer.Outcome
}

// Error returns the version and the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the publication was rejected at version %d: %s", e.Outcome.Offset, e.Outcome.Reason)
}

// NotInForceError reports that a version was accepted, but that the daemons on
// some VMs did not confirm in time that it is in force.
type NotInForceError struct {
	Version identifier.Offset
	// VMs lists the VMs without a confirmation, in alphabetical order.
	VMs []identifier.VMName
}

// Error returns the version and the VMs.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d was accepted, but is not known to be in force on %v", e.Version, e.VMs)
}

// Publisher publishes through the platform's log.
type Publisher struct {
	// Read reads a batch of records from a stream of the log.
	Read snapshotter.ReadFunc
	// Append appends a record to a stream of the log and returns its offset.
	Append func(ctx context.Context, stream identifier.StreamName, data []byte) (identifier.Offset, error)
	// ListVMs returns the platform's list of VMs.
	ListVMs func(ctx context.Context) ([]appender.VM, error)
	// FetchVersion asks the daemon at an operator address for the number of its
	// version in force.
	FetchVersion func(ctx context.Context, operatorAddress identifier.Address) (identifier.Offset, error)
	Clock        clockwork.Clock
}

// Publish appends a publication to the log and returns the number of the version
// that contains it. The error wraps a *RejectedError if the publication is rejected.
// If the configuration already has all its changes, nothing is appended. Publish sets
// BasedOn and ID where they are missing, and retries failed calls until the context
// ends.
func (p *Publisher) Publish(ctx context.Context, pub *parser.Publication) (version identifier.Offset, err error) {
	defer annotator.Annotate(&err, "publish")
	r, err := p.loadWithRetries(ctx)
	if err != nil {
		return 0, err
	}
	changedAt, contained := r.Version().Contains(pub)
	if contained {
		return changedAt, nil
	}
	err = fillDefaults(pub, r.Version())
	if err != nil {
		return 0, err
	}
	outcome, err := p.appendUntilDecided(ctx, r, pub)
	if err != nil {
		return 0, err
	}
	if !outcome.Accepted {
		return 0, &RejectedError{Outcome: outcome}
	}
	return outcome.Offset, nil
}

// loadWithRetries reads the newest version from the log. It retries failed reads
// until the context ends.
func (p *Publisher) loadWithRetries(ctx context.Context) (r *reducer.Reducer, err error) {
	for {
		r, err = p.load(ctx)
		if err == nil || ctx.Err() != nil {
			return r, err
		}
		repeater.Sleep(ctx, p.Clock, retryInterval)
	}
}

// load reads the newest snapshot and applies the records that follow it.
func (p *Publisher) load(ctx context.Context) (r *reducer.Reducer, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, _, err := snapshotter.ReadNewest(ctx, p.Read)
	if err != nil {
		return nil, err
	}
	r = reducer.New(version)
	return r, p.catchUp(ctx, r)
}

// catchUp applies the records of the log that follow a reducer's version. It returns
// an error if the log has deleted the first of them.
func (p *Publisher) catchUp(ctx context.Context, r *reducer.Reducer) error {
	for {
		from := r.Version().Number + 1
		batch, err := p.Read(ctx, appender.StreamConfig, from, readBatchSize, 0)
		if err != nil {
			return err
		}
		if batch.OldestOffset > from {
			return fmt.Errorf("the records before %d are gone and no snapshot covers them", batch.OldestOffset)
		}
		for _, record := range batch.Records {
			if record.Offset != r.Version().Number+1 {
				return fmt.Errorf("the log returned record %d after %d", record.Offset, r.Version().Number)
			}
			r.Apply(record.Offset, record.Data)
		}
		if r.Version().Number+1 >= batch.NextOffset {
			return nil
		}
		if len(batch.Records) == 0 {
			return fmt.Errorf("the log returned none of the records from %d on", from)
		}
	}
}

// fillDefaults sets BasedOn to the current version and ID to a digest of the
// publication, where they are missing. A publication with the same content and the
// same BasedOn gets the same id.
func fillDefaults(pub *parser.Publication, version *reducer.Version) error {
	if pub.BasedOn == nil {
		number := version.Number
		pub.BasedOn = &number
	}
	if pub.ID != "" {
		return nil
	}
	data, err := decoder.Marshal(pub)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(data)
	pub.ID = identifier.PublicationID(hex.EncodeToString(sum[:]))
	return nil
}

// appendUntilDecided appends the publication until a record of it was read back and
// its outcome is known. If the response to an append is lost, reading the log shows
// whether the record was appended. A duplicate record has no effect, as it has the
// same id.
func (p *Publisher) appendUntilDecided(ctx context.Context, r *reducer.Reducer, pub *parser.Publication) (outcome reducer.Outcome, err error) {
	data, err := decoder.Marshal(pub)
	if err != nil {
		return outcome, err
	}
	for {
		outcome, known := r.Version().Outcomes[pub.ID]
		if known {
			return outcome, nil
		}
		err = p.appendAndRead(ctx, r, data)
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			return outcome, fmt.Errorf("whether the log took the publication is unknown; repeat it: %w", err)
		}
		repeater.Sleep(ctx, p.Clock, retryInterval)
	}
}

// appendAndRead appends a record and applies the records of the log up to the newest,
// also if the append failed.
func (p *Publisher) appendAndRead(ctx context.Context, r *reducer.Reducer, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, appendErr := p.Append(ctx, appender.StreamConfig, data)
	readErr := p.catchUp(ctx, r)
	if appendErr != nil {
		return appendErr
	}
	return readErr
}

// AwaitInForce waits until the daemons on all VMs of the platform's list report
// the given version or a later one. It returns a *NotInForceError if the context
// ends first.
func (p *Publisher) AwaitInForce(ctx context.Context, version identifier.Offset) (err error) {
	unconfirmed := []identifier.VMName{}
	for {
		vms, listErr := p.ListVMs(ctx)
		if listErr == nil {
			unconfirmed = p.unconfirmedVMs(ctx, vms, version)
		}
		if listErr == nil && len(unconfirmed) == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return &NotInForceError{Version: version, VMs: unconfirmed}
		}
		repeater.Sleep(ctx, p.Clock, pollInterval)
	}
}

// unconfirmedVMs returns the VMs whose daemons do not report the version or a
// later one. It skips VMs without an operator address, which run no daemon.
func (p *Publisher) unconfirmedVMs(ctx context.Context, vms []appender.VM, version identifier.Offset) []identifier.VMName {
	unconfirmed := []identifier.VMName{}
	for _, vm := range vms {
		if vm.OperatorAddress == "" {
			continue
		}
		number, err := p.FetchVersion(ctx, vm.OperatorAddress)
		if err != nil || number < version {
			unconfirmed = append(unconfirmed, vm.Name)
		}
	}
	slices.Sort(unconfirmed)
	return unconfirmed
}
