// Package dispatcher contains the HTTP clients for two kinds of upstreams: model
// engines, which have an API of their own, and servers of plain services, which
// receive the requests of callers with filtered headers.
package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 60 * time.Second
	maxIdleConnsPerHost = 64
	// maxHeadBytes limits the head of a response.
	maxHeadBytes = 64 << 10
	// maxResponseBytes limits the body of a response, and maxCacheEventsBytes that of a
	// batch of cache events. A longer body is an error.
	maxResponseBytes    = 64 << 10
	maxCacheEventsBytes = 4 << 20
	// maxDetailBytes limits the text of a StatusError.
	maxDetailBytes = 4 << 10
	// maxFrameBytes limits the size of a line of a stream, and maxSkippedBytes the bytes
	// between two frames of the attempt.
	maxFrameBytes     = 64 << 10
	maxSkippedBytes   = 64 << 10
	dataPrefix        = "data: "
	contentTypeJSON   = "application/json"
	headerContentType = "Content-Type"
)

// ErrStreamTruncated is returned if a stream ends before its final frame.
var ErrStreamTruncated = errors.New("the stream ended before its final frame")

var errResponseTooLarge = errors.New("the response exceeds the size limit")

// ErrUnknownAttempt is returned if the engine does not know the attempt.
var ErrUnknownAttempt = errors.New("the engine does not know the attempt")

// StatusError is the error for a response of an engine with a status other than
// 200.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Detail is the start of the response body, without surrounding white space.
	Detail string
}

// Error returns the status and the response body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}

// EngineClient is a client of model engines. It is safe for concurrent use.
type EngineClient struct {
	httpClient *http.Client
}

// NewEngineClient returns a client and a clean-up function that closes its idle
// connections.
func NewEngineClient() (e *EngineClient, cleanup func()) {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &EngineClient{httpClient: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Prefill lets an engine compute a prompt's KV cache and returns when it is ready.
// The error wraps a *StatusError if the engine refuses.
func (e *EngineClient) Prefill(ctx context.Context, address identifier.Address, req PrefillRequest) (resp PrefillResponse, err error) {
	defer annotator.Annotate(&err, "prefill at %s", address)
	err = e.post(ctx, address, PathPrefill, req, &resp)
	if err != nil {
		return resp, err
	}
	if resp.Attempt != req.Attempt {
		return resp, fmt.Errorf("the response belongs to another attempt")
	}
	return resp, nil
}

// Decode lets an engine start to generate tokens and returns the stream of their
// frames, which the caller must close. The error wraps a *StatusError if the engine
// refuses.
func (e *EngineClient) Decode(ctx context.Context, address identifier.Address, req DecodeRequest) (stream *FrameStream, err error) {
	defer annotator.Annotate(&err, "decode at %s", address)
	raw, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(address)+PathDecode, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	httpReq.GetBody = nil
	httpReq.Header.Set(headerContentType, contentTypeJSON)
	return e.openStream(httpReq, req.Attempt)
}

// Resume reopens the stream of a running attempt at a token index. The error wraps
// ErrUnknownAttempt if the engine does not know the attempt, or a *StatusError if
// it refuses because the attempt belongs to another workspace.
func (e *EngineClient) Resume(ctx context.Context, address identifier.Address, attempt identifier.AttemptID, workspace identifier.WorkspaceName, fromIndex int) (stream *FrameStream, err error) {
	defer annotator.Annotate(&err, "resume at %s", address)
	query := url.Values{}
	query.Set("from", strconv.Itoa(fromIndex))
	query.Set("workspace", string(workspace))
	target := "http://" + string(address) + PathAttempts + url.PathEscape(string(attempt)) + "?" + query.Encode()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	stream, err = e.openStream(httpReq, attempt)
	var statusErr *StatusError
	if errors.As(err, &statusErr) && statusErr.Status == http.StatusNotFound {
		return nil, ErrUnknownAttempt
	}
	return stream, err
}

// Cancel cancels attempts at an engine. It is idempotent.
func (e *EngineClient) Cancel(ctx context.Context, address identifier.Address, attempts []identifier.AttemptID) (err error) {
	defer annotator.Annotate(&err, "cancel at %s", address)
	var resp CancelResponse
	return e.post(ctx, address, PathCancel, CancelRequest{Attempts: attempts}, &resp)
}

// FetchLoad returns an engine's load report.
func (e *EngineClient) FetchLoad(ctx context.Context, address identifier.Address) (load LoadReport, err error) {
	defer annotator.Annotate(&err, "read load of %s", address)
	err = e.get(ctx, address, PathLoad, &load, maxResponseBytes)
	return load, err
}

// FetchCacheEvents returns an engine's cache events, beginning with a sequence
// number.
func (e *EngineClient) FetchCacheEvents(ctx context.Context, address identifier.Address, fromSequence int64) (events CacheEvents, err error) {
	defer annotator.Annotate(&err, "read cache events of %s", address)
	err = e.get(ctx, address, PathCacheEvents+"?from="+strconv.FormatInt(fromSequence, 10), &events, maxCacheEventsBytes)
	return events, err
}

func (e *EngineClient) post(ctx context.Context, address identifier.Address, path string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(address)+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set(headerContentType, contentTypeJSON)
	return e.do(req, out, maxResponseBytes)
}

func (e *EngineClient) get(ctx context.Context, address identifier.Address, path string, out any, maxBytes int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+path, nil)
	if err != nil {
		return err
	}
	return e.do(req, out, maxBytes)
}

func (e *EngineClient) do(req *http.Request, out any, maxBytes int64) error {
	resp, err := e.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readStatusError(resp)
	}
	raw, err := readBody(resp, maxBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// readBody reads a response body to its end.
func readBody(resp *http.Response, maxBytes int64) (raw []byte, err error) {
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err == nil && int64(len(raw)) > maxBytes {
		err = errResponseTooLarge
	}
	return raw, err
}

// readStatusError returns a *StatusError for a response, or the error of reading its
// body.
func readStatusError(resp *http.Response) error {
	raw, err := readBody(resp, maxResponseBytes)
	if err != nil {
		return err
	}
	return &StatusError{Status: resp.StatusCode, Detail: strings.TrimSpace(string(raw[:min(len(raw), maxDetailBytes)]))}
}

func (e *EngineClient) openStream(req *http.Request, attempt identifier.AttemptID) (*FrameStream, error) {
	resp, err := e.httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		err = readStatusError(resp)
		_ = resp.Body.Close()
		return nil, err
	}
	return newStream(resp.Body, attempt), nil
}

// FrameStream reads the frames of one attempt from a decode response. Close may be
// called while Next runs.
type FrameStream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	attempt identifier.AttemptID
	// MismatchedFrames counts the frames of other attempts, which are dropped.
	MismatchedFrames int
}

func newStream(body io.ReadCloser, attempt identifier.AttemptID) *FrameStream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxFrameBytes)
	return &FrameStream{body: body, scanner: scanner, attempt: attempt}
}

// Next returns the next frame of the attempt, or an error that wraps
// ErrStreamTruncated if the stream ends before its final frame or has too many bytes
// without a frame of the attempt. The final frame has
// Done set; Next must not be called after it.
func (s *FrameStream) Next() (frame Frame, err error) {
	skippedBytes := 0
	for skippedBytes <= maxSkippedBytes && s.scanner.Scan() {
		line := s.scanner.Text()
		skippedBytes += len(line) + 1
		data, isData := strings.CutPrefix(line, dataPrefix)
		if !isData {
			continue
		}
		frame = Frame{}
		err = json.Unmarshal([]byte(data), &frame)
		if err != nil {
			return frame, fmt.Errorf("read frame: %w", err)
		}
		if frame.Attempt == s.attempt {
			return frame, nil
		}
		s.MismatchedFrames++
	}
	if s.scanner.Err() != nil {
		return Frame{}, fmt.Errorf("%w: %w", ErrStreamTruncated, s.scanner.Err())
	}
	return Frame{}, ErrStreamTruncated
}

// Close closes the connection. The engine continues the attempt until it is
// cancelled.
func (s *FrameStream) Close() {
	_ = s.body.Close()
}
