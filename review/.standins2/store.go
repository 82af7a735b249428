package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: a log with keyed topics.
type store struct {
	address string

	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records [][]byte
	newest  map[string]int64
	changed chan struct{}
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: make(map[string]*topic)}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// topic returns a topic, which is created on first use. The lock must be held.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]int64), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator or a server does. A nil value drops the key.
func (s *store) put(name, key string, value any) {
	raw := append([]byte{byte(len(key))}, key...)
	if value != nil {
		text, _ := json.Marshal(value)
		raw = append(raw, text...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(raw)
}

func (t *topic) add(raw []byte) int64 {
	offset := int64(len(t.records))
	t.records = append(t.records, raw)
	key, value := split(raw)
	t.newest[key] = offset
	if len(value) == 0 {
		delete(t.newest, key)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

func split(raw []byte) (key string, value []byte) {
	size := int(raw[0])
	return string(raw[1 : 1+size]), raw[1+size:]
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	name := r.URL.Query().Get("topic")
	if err != nil || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	at := r.URL.Query().Get("at")
	w.Header().Set("Content-Type", "application/json")
	if at != "" && at != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"endOffset":%d}`, len(t.records))
		return
	}
	first := int64(len(t.records))
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		t.add(slices.Clone(body[4 : 4+size]))
		body = body[4+size:]
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"endOffset":%d}`, first, len(t.records))
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	for waiting := true; waiting && from >= int64(len(t.records)); {
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
	for offset := from; offset < int64(len(t.records)) && len(out) < 1<<20; offset++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[offset])))
		out = append(out, t.records[offset]...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	for key, offset := range t.newest {
		_, value := split(t.records[offset])
		items = append(items, item{key, value, offset})
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "endOffset": len(t.records)})
}
