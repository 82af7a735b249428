package screener

import "math"

// chunkState is what a chunkScanner expects next.
type chunkState string

const (
	// chunkSize is the size at the beginning of a chunk, and chunkExtension the rest of
	// that line.
	chunkSize      chunkState = "size"
	chunkExtension chunkState = "extension"
	chunkData      chunkState = "data"
	// chunkEnd is the line end after the data.
	chunkEnd     chunkState = "end"
	chunkTrailer chunkState = "trailer"
)

// chunkScanner finds the end of a body in chunks. It accepts more than net/http does, which
// fails on malformed chunks by itself.
type chunkScanner struct {
	state chunkState
	// size is the size of the chunk, and left what is left of its data.
	size int64
	left int64
	// trailer finds the end of the trailer. Its first line stands for the last chunk.
	trailer HeadScanner
}

func newChunkScanner() *chunkScanner {
	return &chunkScanner{state: chunkSize, trailer: HeadScanner{isStarted: true}}
}

// feed reads on. It returns how many bytes of data belong to the body, and whether the body
// ends with them.
func (s *chunkScanner) feed(data []byte) (n int, isComplete bool) {
	for n < len(data) {
		switch s.state {
		case chunkData:
			step := min(int64(len(data)-n), s.left)
			s.left -= step
			n += int(step)
			if s.left == 0 {
				s.state = chunkEnd
			}
		case chunkTrailer:
			step, isComplete := s.trailer.Feed(data[n:])
			return n + step, isComplete
		default:
			s.feedByte(data[n])
			n++
		}
	}
	return n, false
}

// feedByte reads a byte of the lines around the data of a chunk.
func (s *chunkScanner) feedByte(b byte) {
	digit, isDigit := hexDigit(b)
	switch {
	case s.state == chunkEnd:
		if b == '\n' {
			s.state = chunkSize
		}
	case b == '\n':
		s.left, s.size = s.size, 0
		s.state = chunkData
		if s.left == 0 {
			s.state = chunkTrailer
		}
	case s.state == chunkSize && isDigit:
		if s.size > math.MaxInt64>>4 {
			s.size = math.MaxInt64 >> 4
		}
		s.size = s.size<<4 | digit
	default:
		s.state = chunkExtension
	}
}

func hexDigit(b byte) (digit int64, ok bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
