// Package refuser builds the error responses to callers, which are called refusals
// also if the request ran and failed. All of them have the same JSON format and a
// stable code, which also labels the refusal counters.
package refuser

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Code is the stable, machine-readable reason for a refusal, in kebab case.
type Code string

// The reasons for a refusal.
const (
	UnknownRoute             Code = "unknown-route"
	MethodNotAllowed         Code = "method-not-allowed"
	MissingKey               Code = "missing-key"
	MalformedKey             Code = "malformed-key"
	UnknownKey               Code = "unknown-key"
	WithdrawnKey             Code = "withdrawn-key"
	MalformedBody            Code = "malformed-body"
	BodyTooLarge             Code = "body-too-large"
	UnknownModel             Code = "unknown-model"
	OverBurst                Code = "over-burst" // the request needs more tokens than the workspace's burst
	OverLimit                Code = "over-limit"
	QueueFull                Code = "queue-full"
	DeadlineExceeded         Code = "deadline-exceeded"
	NoUpstream               Code = "no-upstream"
	NotReady                 Code = "not-ready"
	ShuttingDown             Code = "shutting-down" // the request may outlast the daemon
	NotCurrent               Code = "not-current"   // the VM cannot confirm its configuration, or reach the holder of the limit
	UpstreamFailed           Code = "upstream-failed"
	UpstreamUnreached        Code = "upstream-unreached"
	OutcomeUnknown           Code = "outcome-unknown" // the call was sent, and may have run
	IdempotencyKeyMalformed  Code = "once-key-malformed"
	IdempotencyKeyExpired    Code = "once-key-expired"
	IdempotencyKeyReused     Code = "once-key-reused"
	EarlierCallRunning       Code = "once-running"         // a call with the same idempotency key is running
	EarlierCallUnknown       Code = "once-unknown"         // the outcome of a call with the same key is unknown
	IdempotencyKeyUnrecorded Code = "once-unrecorded"      // the call could not be recorded under its key
	EarlierResponseNotKept   Code = "once-answer-not-kept" // a call with the same key ended, and its response is not kept
	ResumeUnknown            Code = "resume-unknown"       // the engine of the stream is gone, or does not know the stream
	ResumeMalformed          Code = "resume-malformed"
	CallerGone               Code = "caller-gone"
	ConcurrencyLimitReached  Code = "concurrency-reached"
	PromptTooLarge           Code = "prompt-too-large"
	PrefillFailed            Code = "prefill-failed"
	StreamTruncated          Code = "stream-cut"
	Quarantined              Code = "quarantined"      // a part of the prompt crashes engines
	CrashSuspected           Code = "crash-suspected"  // a part of the prompt may crash engines
	HeldBack                 Code = "held-back"        // the upstreams asked to be left alone for a while
	MemoryExhausted          Code = "memory-exhausted" // the VM buffers too many bytes for other requests
	ZoneEvacuated            Code = "zone-evacuated"   // all upstreams of the service are in evacuated zones
	UpstreamsCold            Code = "upstreams-cold"   // the upstreams have just started and get no more requests for now
	NoHome                   Code = "no-home"          // no upstream is in a region in which the request may be served
	HeadTooLarge             Code = "head-too-large"
	HeadMalformed            Code = "malformed-head"
	RequestTimeout           Code = "request-timeout" // the head or the body did not arrive in time
)

// Codes lists all codes, so that each has a counter when the daemon starts.
var Codes = []Code{
	UnknownRoute, MethodNotAllowed, MissingKey, MalformedKey, UnknownKey,
	WithdrawnKey, MalformedBody, BodyTooLarge, UnknownModel, OverBurst,
	OverLimit, QueueFull, DeadlineExceeded, NoUpstream, NotReady, ShuttingDown, NotCurrent,
	UpstreamFailed, UpstreamUnreached, OutcomeUnknown, IdempotencyKeyMalformed,
	IdempotencyKeyExpired, IdempotencyKeyReused, EarlierCallRunning, EarlierCallUnknown, IdempotencyKeyUnrecorded,
	EarlierResponseNotKept,
	ResumeUnknown, ResumeMalformed, CallerGone, ConcurrencyLimitReached,
	PromptTooLarge, PrefillFailed, StreamTruncated, Quarantined, CrashSuspected, HeldBack,
	MemoryExhausted, ZoneEvacuated, UpstreamsCold, NoHome, HeadTooLarge, HeadMalformed, RequestTimeout,
}

// Refusal is an error response to a caller, whether the request ran or not. It
// implements error.
type Refusal struct {
	// Code is the machine-readable reason.
	Code Code
	// Status is the HTTP status.
	Status int
	// Message is the human-readable reason.
	Message string
	// NotRun is true only if no byte of the request reached an upstream and the
	// request can never run later. If so, a retry cannot make it run twice.
	NotRun bool
	// RetryAfter is how long the caller should wait before a retry. It is zero if
	// waiting does not help.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Code, r.Message)
}

// New returns a refusal of a request that has not run and never will. The status is
// the HTTP status; format and args give the message.
func New(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{
		Code:    code,
		Status:  status,
		Message: fmt.Sprintf(format, args...),
		NotRun:  true,
	}
}

// NewIndeterminate returns a refusal of a request that may have run or may still
// run. Its parameters are those of New.
func NewIndeterminate(status int, code Code, format string, args ...any) *Refusal {
	r := New(status, code, format, args...)
	r.NotRun = false
	return r
}

// AsIndeterminate returns a copy of the refusal for a request that may have run,
// because an earlier attempt was sent to an upstream.
func (r *Refusal) AsIndeterminate() *Refusal {
	indeterminate := *r
	indeterminate.NotRun = false
	return &indeterminate
}

// WithRetryAfter sets RetryAfter on the refusal and returns it.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// Body is the JSON body of a refusal.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object in a refusal's body.
type BodyError struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	NotRun  bool   `json:"not-run"`
}

// JSON returns the encoded Body.
func (r *Refusal) JSON() []byte {
	raw, _ := json.Marshal(Body{Error: BodyError{Code: r.Code, Message: r.Message, NotRun: r.NotRun}})
	return raw
}

// Write sends the refusal as the complete response. The header Retry-After has
// RetryAfter rounded up to whole seconds, and is left out if RetryAfter is zero.
func (r *Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(append(r.JSON(), '\n'))
}
