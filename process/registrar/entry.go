package registrar

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// State tells whether an upstream takes new work.
type State string

// The states of an upstream.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Entry is the registration of one upstream.
type Entry struct {
	Name    identifier.UpstreamName
	Service identifier.ServiceName
	Address identifier.Address
	Zone    identifier.ZoneName
	State   State
	// Role is empty for plain services.
	Role parser.Role
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// StartedAt is when the upstream's process started. The tag keeps the name
	// that a gateway's /v1/status reports.
	StartedAt time.Time `json:"Born"`
	// Sequence rises with each record of the process. It is zero if unknown, and in the
	// entries of the list.
	Sequence int64 `json:"-"`
	// Position is the position of the entry's record in the store.
	Position identifier.Position
	// ColdLeft is how long the upstream is still cold, in an entry that was just read or
	// in an update. ColdUntil is the end of that time, in an entry of the list.
	ColdLeft  time.Duration `json:"-"`
	ColdUntil time.Time     `json:"-"`
}
