package identifier

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (Era, Offset) {
			return Era(rapid.Int64Range(0, int64(MaxEra)).Draw(t, label+" era")), Offset(rapid.Int64Range(0, int64(MaxOffset)).Draw(t, label+" offset"))
		}
		eraA, offsetA := draw("a")
		eraB, offsetB := draw("b")
		a, b := NewPosition(eraA, offsetA), NewPosition(eraB, offsetB)
		if a.Era() != eraA || a.Offset() != offsetA {
			t.Fatalf("%d and %d became %s", eraA, offsetA, a)
		}
		isBefore := eraA < eraB || eraA == eraB && offsetA < offsetB
		if (a < b) != isBefore || a <= NoPosition {
			t.Fatalf("%s < %s is %t", a, b, a < b)
		}
	})
}

func TestPositionWithoutAnEraIsItsOffset(t *testing.T) {
	is := is.New(t)
	is.Equal(NewPosition(0, 7), Position(7))
	is.Equal(Position(7).String(), "7")
	is.Equal(NewPosition(2, 7).String(), "2:7")
	is.Equal(NoPosition.String(), "-1")
	is.Equal(NoPosition.Offset(), NoOffset)
	is.True(NoPosition.Era() < 0)
}
