package imitator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
)

// Log stands in for the platform's append-only log service and for its list of
// VMs, which shows changes late.
type Log struct {
	faultInjector
	retention time.Duration
	vmListLag time.Duration

	mu      sync.Mutex
	streams map[identifier.StreamName]*stream
	vmLists []vmListSnapshot
}

// stream holds the records that are younger than the retention. changed is
// closed and replaced on each append.
type stream struct {
	oldestOffset identifier.Offset
	records      []appender.Record
	changed      chan struct{}
}

type vmListSnapshot struct {
	at   time.Time
	list appender.VMList
}

// NewLog returns an empty log that retains records for a time. Its list of VMs
// shows changes after vmListLag.
func NewLog(retention, vmListLag time.Duration) *Log {
	return &Log{
		retention: retention,
		vmListLag: vmListLag,
		streams:   make(map[identifier.StreamName]*stream),
	}
}

// Handler returns the handler of the HTTP API of the log and of the list of VMs.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}", l.withFaults(l.serveAppend))
	mux.HandleFunc("GET /v1/streams/{stream}", l.withFaults(l.serveRead))
	mux.HandleFunc("GET /v1/vms", l.withFaults(l.serveVMs))
	mux.HandleFunc("PUT /v1/vms", l.servePutVMs)
	mux.HandleFunc("POST "+PathFaults, l.serveSetFaults)
	return mux
}

// SetVMs replaces the list of VMs. Readers see the change after the lag.
func (l *Log) SetVMs(vms []appender.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vmLists = append(l.vmLists, vmListSnapshot{at: time.Now(), list: appender.VMList{VMs: vms}})
}

// Append adds a record to a stream and returns its offset.
func (l *Log) Append(name identifier.StreamName, data []byte) identifier.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.oldestOffset + identifier.Offset(len(s.records))
	s.records = append(s.records, appender.Record{Offset: offset, Time: time.Now(), Data: data})
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// stream returns a stream and creates it if it does not exist.
func (l *Log) stream(name identifier.StreamName) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// expireRecords drops the records that are older than the retention.
func (l *Log) expireRecords(s *stream) {
	oldest := time.Now().Add(-l.retention)
	for len(s.records) > 0 && s.records[0].Time.Before(oldest) {
		s.records = s.records[1:]
		s.oldestOffset++
	}
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := identifier.StreamName(r.PathValue("stream"))
	if l.consume(func(f *Faults) *int { return &f.LostAppendResponses }) {
		delay := l.currentFaults().AppendDelay
		time.AfterFunc(delay, func() { l.Append(name, data) })
		abortConnection()
	}
	writeJSON(w, appender.AppendResponse{Offset: l.Append(name, data)})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	maxWait, _ := time.ParseDuration(r.FormValue("wait"))
	name := identifier.StreamName(r.PathValue("stream"))
	batch, changed := l.read(name, identifier.Offset(from), limit)
	if len(batch.Records) == 0 && maxWait > 0 {
		l.awaitAppend(r, changed, maxWait)
		batch, _ = l.read(name, identifier.Offset(from), limit)
	}
	if l.currentFaults().Outage {
		abortConnection()
	}
	writeJSON(w, batch)
}

// awaitAppend waits up to maxWait for the next append to a stream, which closes
// changed.
func (l *Log) awaitAppend(r *http.Request, changed chan struct{}, maxWait time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// read returns up to limit records from an offset on, and a channel that is
// closed on the next append.
func (l *Log) read(name identifier.StreamName, from identifier.Offset, limit int) (appender.Batch, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expireRecords(s)
	batch := appender.Batch{OldestOffset: s.oldestOffset, NextOffset: s.oldestOffset + identifier.Offset(len(s.records))}
	start := max(from, s.oldestOffset)
	end := min(start+identifier.Offset(limit), batch.NextOffset)
	for offset := start; offset < end; offset++ {
		batch.Records = append(batch.Records, s.records[offset-s.oldestOffset])
	}
	return batch, s.changed
}

func (l *Log) serveVMs(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := appender.VMList{VMs: []appender.VM{}}
	for _, snapshot := range l.vmLists {
		if time.Since(snapshot.at) >= l.vmListLag {
			visible = snapshot.list
		}
	}
	writeJSON(w, visible)
}

func (l *Log) servePutVMs(w http.ResponseWriter, r *http.Request) {
	var list appender.VMList
	err := json.NewDecoder(r.Body).Decode(&list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetVMs(list.VMs)
	w.WriteHeader(http.StatusNoContent)
}
