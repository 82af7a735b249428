package identifier

import "fmt"

// Era counts how often a log came back from an older copy of itself, and so lost records
// that it had acknowledged. It is zero for a log that states none.
type Era int64

// Position is a place in a topic of a log that may come back from an older copy: an era and
// the offset of a record in it. Offsets are given out again in a later era, so positions are
// ordered by era first. Position+1 is the place after a record. As a number it is the era
// times 2^40 plus the offset, which is the offset alone for a log that states no era, and
// exact as a 64-bit floating point number up to era 8191.
type Position int64

const (
	// NoPosition is before the first record of a topic. It means that there is no record.
	NoPosition Position = -1
	// MaxEra is the highest era that a Position can hold.
	MaxEra Era = 1<<(63-positionOffsetBits) - 1
	// MaxOffset is the highest offset that a Position can hold.
	MaxOffset Offset = 1<<positionOffsetBits - 1

	positionOffsetBits = 40
)

// NewPosition returns the place of an offset in an era.
func NewPosition(era Era, offset Offset) Position {
	return Position(era)<<positionOffsetBits | Position(offset)
}

// Era returns the era, which is negative for NoPosition.
func (p Position) Era() Era { return Era(p >> positionOffsetBits) }

// Offset returns the offset within the era.
func (p Position) Offset() Offset {
	if p == NoPosition {
		return NoOffset
	}
	return Offset(p) & MaxOffset
}

// String returns the offset, with the era before it if the log states one.
func (p Position) String() string {
	if p.Era() <= 0 {
		return fmt.Sprint(int64(p))
	}
	return fmt.Sprintf("%d:%d", p.Era(), p.Offset())
}
