package deduplicator

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"

	"sassafraspass.dev/sassafraspass/annotator"
)

// Key is a caller's Idempotency-Key: a ULID or a UUIDv7, both of which contain
// their creation time.
type Key string

const (
	ulidLength  = 26
	uuidVersion = 7
)

// Time returns the creation time that the key contains. It fails if the key is
// neither a ULID nor a UUIDv7.
func (k Key) Time() (t time.Time, err error) {
	defer annotator.Annotate(&err, "read the time of idempotency key %q", k)
	if len(k) == ulidLength {
		id, err := ulid.ParseStrict(string(k))
		if err != nil {
			return t, err
		}
		return ulid.Time(id.Time()), nil
	}
	id, err := uuid.Parse(string(k))
	if err != nil {
		return t, err
	}
	if id.Version() != uuidVersion {
		return t, fmt.Errorf("a UUID of version %d carries no usable time", id.Version())
	}
	return time.Unix(id.Time().UnixTime()), nil
}
