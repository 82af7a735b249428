package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
// It serves what the daemons use: log-append, log-read and log-newest.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records [][]byte
	newest  map[string]int
	changed chan struct{}
}

const maxReadBytes = 1024 << 10

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a keyed record, as the operator and the servers do. A nil value drops the
// key.
func (s *store) put(name, key string, value []byte) int {
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).add(raw)
}

func (s *store) putJSON(name, key string, value any) int {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.put(name, key, raw)
}

func (t *topic) add(raw []byte) int {
	offset := len(t.records)
	t.records = append(t.records, raw)
	if len(raw) > 0 && int(raw[0]) < len(raw) {
		key := string(raw[1 : 1+int(raw[0])])
		if len(raw) == 1+len(key) {
			delete(t.newest, key)
		} else {
			t.newest[key] = offset
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.serveAppend(w, r)
	case "GET /log-read":
		s.serveRead(w, r)
	case "GET /log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := len(t.records)
	at := r.URL.Query().Get("at")
	if at != "" && at != strconv.Itoa(end) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"endOffset": end})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		t.add(slices.Clone(body[4 : 4+size]))
		body = body[4+size:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": end, "endOffset": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	limit := maxReadBytes
	if kb, err := strconv.Atoi(r.URL.Query().Get("maxKb")); err == nil {
		limit = kb << 10
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	for waiting := true; waiting && from >= len(t.records); {
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for offset := from; offset < len(t.records); offset++ {
		raw := t.records[offset]
		if offset > from && len(out)+4+len(raw) > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
		out = append(out, raw...)
	}
	s.mu.Unlock()
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	items := []map[string]any{}
	size := 0
	for _, key := range keys {
		raw := t.records[t.newest[key]][1+len(key):]
		if len(items) == 500 || len(items) > 0 && size+len(raw) > 1<<20 {
			break
		}
		size += len(raw)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(raw), "offset": t.newest[key]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(keys), "endOffset": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
