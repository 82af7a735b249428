package rationer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestReadAllReturnsAllBytesAndHoldsThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 0, 9000).Draw(t, "bytes")
		announced := rapid.SampledFrom([]int64{-1, 0, int64(len(want)), 1 << 40}).Draw(t, "announced")
		r := New(1 << 20)
		n := r.Begin()
		got, err := n.ReadAll(iotest.HalfReader(bytes.NewReader(want)), announced)
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
		if r.Used() < int64(len(want)) || r.Used() < int64(cap(got)) {
			t.Fatalf("%d bytes are held for a buffer of %d", r.Used(), cap(got))
		}
		n.Release()
		n.Release()
		if r.Used() != 0 {
			t.Fatalf("%d bytes are held after the release", r.Used())
		}
	})
}

func TestReadsTogetherStayWithinTheTotal(t *testing.T) {
	is := is.New(t)
	r := New(1 << 20)
	failed := 0
	for range 10 {
		n := r.Begin()
		defer n.Release()
		_, err := n.ReadAll(strings.NewReader(strings.Repeat("x", 200<<10)), -1)
		if err != nil {
			is.True(errors.Is(err, ErrExhausted))
			failed++
		}
	}
	is.True(failed > 0 && failed < 10)
	is.True(r.Peak() <= 1<<20)
}

// Guards against short requests that are refused because of the long bodies of others.
func TestLongReadsLeaveRoomForShortOnes(t *testing.T) {
	is := is.New(t)
	r := New(1 << 20)
	for range 10 {
		n := r.Begin()
		defer n.Release()
		_, _ = n.ReadAll(strings.NewReader(strings.Repeat("x", 500<<10)), -1)
	}
	n := r.Begin()
	defer n.Release()
	_, err := n.ReadAll(strings.NewReader(strings.Repeat("x", 20<<10)), -1)
	is.NoErr(err)
}

func TestAnnouncedLengthAloneHoldsNoMemory(t *testing.T) {
	is := is.New(t)
	r := New(1 << 20)
	n := r.Begin()
	_, err := n.ReadAll(io.LimitReader(strings.NewReader("x"), 1), 1<<30)
	is.NoErr(err)
	is.True(r.Peak() <= maxFirstBufferBytes)
}

func TestWithoutARationerNothingIsLimited(t *testing.T) {
	is := is.New(t)
	var r *Rationer
	n := r.Begin()
	data, err := n.ReadAll(strings.NewReader(strings.Repeat("x", 300<<10)), -1)
	is.NoErr(err)
	is.Equal(len(data), 300<<10)
	n.Release()
	var none *Ration
	is.True(none.Resize(5))
	none.Release()
}
