package gateway

import (
	"context"
	"net/http"
	"time"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/leaser"
	"sassafraspass.dev/sassafraspass/process/rebalancer"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/process/sharer"
	"sassafraspass.dev/sassafraspass/request/proxier"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

// Handler serves HTTP requests.
type Handler = http.Handler

// VersionBatch is the result of reading configuration records from the platform.
type VersionBatch struct {
	Versions []*reducer.Version
	// Evacuations holds the records of evacuated zones, which are in the same topic.
	Evacuations []evacuator.Change
	// ParseErrors holds an error for each record that could not be parsed.
	ParseErrors []error
	// NextPosition is the one to read next, after the last record that was read.
	// ReachedEnd reports that no further record followed then.
	NextPosition identifier.Position
	ReachedEnd   bool
	// EndPosition is the one after the newest record.
	EndPosition identifier.Position
	// RecordCount is the number of records that were read.
	RecordCount int
	// Truncated reports that the platform has not all records from the requested position
	// on, because it deleted them or came back from an older copy.
	Truncated bool
}

// UpstreamChange is one record of the list of upstreams. Entry is set unless the
// record deletes the upstream or could not be parsed.
type UpstreamChange struct {
	Name     identifier.UpstreamName
	Position identifier.Position
	Entry    registrar.Entry
	Deleted  bool
	// ParseError is the reason why the record could not be parsed, if any.
	ParseError error
	// Warning says which field of the record was out of range and was clamped.
	Warning error
}

// UpstreamBatch is the result of reading upstream records from the platform.
type UpstreamBatch struct {
	Changes []UpstreamChange
	// NextPosition is the one to read next, after the last record that was read.
	// ReachedEnd reports that no further record followed then.
	NextPosition identifier.Position
	ReachedEnd   bool
	// EndPosition is the one after the newest record.
	EndPosition identifier.Position
	// Truncated reports that the platform has not all records from the requested position
	// on, because it deleted them or came back from an older copy.
	Truncated bool
}

// EpochBatch is the result of reading epoch records from the platform.
type EpochBatch struct {
	Records []epochtracker.Record
	// NextPosition is the one to read next, after the last record that was read.
	// ReachedEnd reports that no further record followed then.
	NextPosition identifier.Position
	ReachedEnd   bool
	// EndPosition is the one after the newest record.
	EndPosition identifier.Position
	// Truncated reports that the platform has not all records from the requested position
	// on.
	Truncated bool
}

// DirectoryQuery is the question of a caller which daemons serve a host. Zone and Region are
// those of the caller, empty if unknown.
type DirectoryQuery struct {
	Host   string
	Zone   identifier.ZoneName
	Region identifier.RegionName
}

// EraWatcher holds the functions that are called with what the responses of the platform's
// log say about its era. They must not block.
type EraWatcher struct {
	// OnChange is called when a response states a higher era than all before.
	OnChange func(before, now identifier.Era)
	// OnInvalid is called for a response whose era is missing, no number or lower than the
	// known one.
	OnInvalid func(stated string, known identifier.Era)
}

// Drivers are the functions that access the platform and implement its protocols.
type Drivers struct {
	// WatchEra sets the functions that are called with the era of the log. It is nil if
	// the log has none.
	WatchEra func(watcher EraWatcher)
	// ReadVMs returns the list of VMs. RegisterVM puts a VM on it or updates its
	// entry, and DeregisterVM removes a VM from it.
	ReadVMs      func(ctx context.Context) ([]appender.VM, error)
	RegisterVM   func(ctx context.Context, vm appender.VM) error
	DeregisterVM func(ctx context.Context, name identifier.VMName) error
	// AppendEpoch appends a proposal for the next epoch if next is still the next
	// position of the epochs, and returns the record's position.
	AppendEpoch func(ctx context.Context, data []byte, next identifier.Position) (identifier.Position, error)
	// ReadEpochs returns the epoch records from a position on. It waits up to wait for
	// the first one.
	ReadEpochs func(ctx context.Context, from identifier.Position, wait time.Duration) (EpochBatch, error)
	// NewestEpoch returns the newest proposal, without data if there is none, and the
	// position of the next one.
	NewestEpoch func(ctx context.Context) (newest epochtracker.Record, next identifier.Position, err error)
	// ReadVersions and ReadUpstreams read the records from a position on and wait
	// up to wait for the first one. If from is identifier.NoPosition, they return the
	// newest record of each key immediately.
	ReadVersions  func(ctx context.Context, from identifier.Position, wait time.Duration) (VersionBatch, error)
	ReadUpstreams func(ctx context.Context, from identifier.Position, wait time.Duration) (UpstreamBatch, error)

	// NewestClaim returns the newest claim of the lease on a duty. AppendClaim
	// appends one if next is still the next position of the claims, and returns the
	// record's position.
	NewestClaim func(ctx context.Context, duty string) (leaser.NewestClaim, error)
	AppendClaim func(ctx context.Context, duty string, data []byte, next identifier.Position) (identifier.Position, error)

	// ReadQuarantines returns the records of the quarantined prompt parts.
	// AppendQuarantine stores one, and DropQuarantine deletes that of a part.
	ReadQuarantines  func(ctx context.Context) (sharer.RecordBatch, error)
	AppendQuarantine func(ctx context.Context, record sharer.Record) error
	DropQuarantine   func(ctx context.Context, service identifier.ServiceName, part identifier.PromptPartID) error

	// RequestProtocol encodes requests to upstreams, and OrderProtocol the orders
	// that change an engine's role.
	RequestProtocol proxier.Protocol
	OrderProtocol   rebalancer.Protocol
	// IsMatchingResponse reports whether the header of a response belongs to the
	// request with the given header.
	IsMatchingResponse func(response, request http.Header) bool
	// EchoedID returns the id that an upstream copies from the header of a request to
	// that of its response, or "".
	EchoedID func(header http.Header) string

	// CallerHandler builds the handler for callers; maxBody is in bytes.
	// DirectoryHandler builds the one that tells callers the daemons' addresses,
	// and ReadinessHandler the platform's readiness check.
	CallerHandler    func(p *proxier.Proxier, maxBody func() int64) Handler
	DirectoryHandler func(addresses func(query DirectoryQuery) []identifier.Address, maxAge time.Duration) Handler
	ReadinessHandler func(isReady func() bool) http.HandlerFunc
}
