// Package rationer bounds the memory of the bytes that a daemon buffers for all of its
// requests together. Limits of single reads don't, as many reads may reach theirs at a time.
package rationer

import (
	"errors"
	"io"
	"sync"
)

// ErrExhausted is the error of a read for which no memory is left.
var ErrExhausted = errors.New("too many bytes are buffered for other requests")

const (
	// minBufferBytes is the first size of a buffer, and maxFirstBufferBytes its largest
	// one, whatever length is announced.
	minBufferBytes      = 1 << 10
	maxFirstBufferBytes = 8 << 10
	// Rations of more than smallBytes leave a reserveFraction of the memory to smaller
	// ones, so that long bodies don't keep out short ones.
	smallBytes      = 64 << 10
	reserveFraction = 0.25
)

// Rationer hands out the memory. It is safe for concurrent use. A nil one sets no limit.
type Rationer struct {
	total int64

	mu   sync.Mutex
	used int64
	peak int64
}

// New returns a rationer of a number of bytes.
func New(total int64) *Rationer {
	return &Rationer{total: total}
}

// Peak returns the largest number of bytes that were in use at a time.
func (r *Rationer) Peak() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}

// Used returns the number of bytes in use.
func (r *Rationer) Used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// resize changes the size of a ration. It returns false if there is no room for it.
func (r *Rationer) resize(from, to int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.total
	if to > smallBytes {
		limit -= int64(reserveFraction * float64(r.total))
	}
	if to > from && r.used+to-from > limit {
		return false
	}
	r.used += to - from
	r.peak = max(r.peak, r.used)
	return true
}

// Begin returns an empty ration. Release must be called at its end.
func (r *Rationer) Begin() *Ration {
	return &Ration{rationer: r}
}

// Ration is the memory that one user holds. A nil one has no limit. It is not safe for
// concurrent use.
type Ration struct {
	rationer *Rationer
	held     int64
}

// Resize changes the number of bytes that are held. It returns false, and changes nothing,
// if not so many are left.
func (n *Ration) Resize(bytes int64) bool {
	if n == nil || n.rationer == nil {
		return true
	}
	if !n.rationer.resize(n.held, bytes) {
		return false
	}
	n.held = bytes
	return true
}

// Release returns all bytes. It may be called again.
func (n *Ration) Release() {
	n.Resize(0)
}

// ReadAll reads to the end of r. The announced length, negative if unknown, avoids copies.
// It fails with ErrExhausted, and what was read so far, if the ration cannot grow with the
// bytes that arrive.
func (n *Ration) ReadAll(r io.Reader, announced int64) (data []byte, err error) {
	size := min(max(announced+1, minBufferBytes), maxFirstBufferBytes)
	if !n.Resize(size) {
		return nil, ErrExhausted
	}
	data = make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			grown := int64(2 * cap(data))
			if announced > int64(len(data)) {
				grown = min(grown, announced+1)
			}
			// Both buffers exist while the bytes are copied.
			if !n.Resize(int64(cap(data)) + grown) {
				return data, ErrExhausted
			}
			data = append(make([]byte, 0, grown), data...)
			n.Resize(grown)
		}
		read, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+read]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
