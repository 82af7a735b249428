package proxier

import (
	"net/http"
	"strconv"
	"strings"
)

// hopByHopHeaders lists the headers that apply to a single connection and are not
// forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// EndToEndHeader returns a copy of header without the hop-by-hop headers and without
// those that Connection lists. The names in header must be in canonical form.
func EndToEndHeader(header http.Header) http.Header {
	connectionOptions := make(map[string]bool)
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			connectionOptions[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	endToEnd := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHopHeaders[name] && !connectionOptions[name] {
			endToEnd[name] = values
		}
	}
	return endToEnd
}

// responseWriter writes an upstream's response to the caller.
type responseWriter struct {
	underlying http.ResponseWriter
	control    *http.ResponseController
	headerSent bool
	status     int
}

func newResponseWriter(w http.ResponseWriter) *responseWriter {
	return &responseWriter{underlying: w, control: http.NewResponseController(w)}
}

// writeHeader sends the status and the end-to-end headers. length is the size of
// the body in bytes, negative if unknown.
func (w *responseWriter) writeHeader(status int, header http.Header, length int64) {
	dst := w.underlying.Header()
	for name, values := range EndToEndHeader(header) {
		dst[name] = values
	}
	if header["Content-Type"] == nil {
		// A nil value keeps net/http from sniffing a content type.
		dst["Content-Type"] = nil
	}
	if header["Date"] == nil {
		dst["Date"] = nil
	}
	if length >= 0 {
		dst.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.headerSent = true
	w.status = status
	w.underlying.WriteHeader(status)
}

// Write writes a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	return w.underlying.Write(p)
}

func (w *responseWriter) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_, err := w.underlying.Write(p)
	return err
}

// flush sends buffered data to the caller immediately.
func (w *responseWriter) flush() error {
	return w.control.Flush()
}
