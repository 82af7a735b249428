package screener

import "bytes"

// HeadScanner follows the lines of a head as net/http does, which ends a head with
// the first empty line after the start line. Lines end with LF or CRLF. The zero value
// is at the beginning of a head.
type HeadScanner struct {
	// bytes is the length of what was read of the head, and lines the number of its
	// complete lines that are not empty.
	bytes int
	lines int
	// emptyLines is the number of empty lines before the start line.
	emptyLines int
	// isStarted is set from the first byte of the start line on.
	isStarted bool

	// lineBytes is the length of the current line so far, and isCR is set while it
	// consists of one CR.
	lineBytes int
	isCR      bool
}

// Feed reads on. It returns how many bytes of data belong to the head, and whether the head
// ends with them.
func (s *HeadScanner) Feed(data []byte) (n int, isComplete bool) {
	for n < len(data) {
		length := bytes.IndexByte(data[n:], '\n')
		if length < 0 {
			s.extendLine(data[n:])
			s.bytes += len(data) - n
			return len(data), false
		}
		s.extendLine(data[n : n+length])
		n += length + 1
		s.bytes += length + 1
		isEmpty := s.lineBytes == 0 || s.isCR
		s.lineBytes, s.isCR = 0, false
		switch {
		case !isEmpty:
			s.lines++
		case s.isStarted:
			return n, true
		default:
			s.emptyLines++
		}
	}
	return n, false
}

// Lines returns the number of complete lines of the head that are not empty.
func (s *HeadScanner) Lines() int { return s.lines }

// extendLine adds a part without LF to the current line.
func (s *HeadScanner) extendLine(part []byte) {
	if len(part) == 0 {
		return
	}
	s.isCR = s.lineBytes == 0 && len(part) == 1 && part[0] == '\r'
	s.lineBytes += len(part)
	if !s.isCR {
		s.isStarted = true
	}
}
