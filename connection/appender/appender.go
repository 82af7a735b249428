// Package appender is a client of the platform's log service, which keeps
// append-only streams of records and also serves the list of VMs.
package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/identifier"
)

// The streams that the daemons keep in the log.
const (
	// StreamConfig holds the publications.
	StreamConfig identifier.StreamName = "config"
	// StreamSnapshots holds snapshots of the configuration version and the epoch.
	StreamSnapshots identifier.StreamName = "snapshots"
	// StreamEpochs holds the proposals of epochs.
	StreamEpochs identifier.StreamName = "epochs"
	// StreamIdempotencyKeys holds the calls that have an idempotency key.
	StreamIdempotencyKeys identifier.StreamName = "once"
)

const (
	// maxBatchBytes limits the response to a read, and maxResponseBytes any other.
	maxBatchBytes    = 64 << 20
	maxResponseBytes = 4 << 20
	maxHeadBytes     = 64 << 10
)

var errResponseTooLarge = errors.New("the response exceeds the size limit")

// Record is one record of a stream.
type Record struct {
	Offset identifier.Offset `json:"offset"`
	// Time is when the log appended the record, or zero if the log does not tell.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Batch is the response to a read.
type Batch struct {
	// OldestOffset is the offset of the oldest record that the log still keeps.
	OldestOffset identifier.Offset `json:"first"`
	// NextOffset is the offset of the next record to be appended.
	NextOffset identifier.Offset `json:"next"`
	Records    []Record          `json:"records"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset identifier.Offset `json:"offset"`
}

// VMState tells whether a listed VM accepts new work.
type VMState string

// The states of a listed VM.
const (
	VMServing  VMState = "live"
	VMDraining VMState = "leaving"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name  identifier.VMName   `json:"vm"`
	Zone  identifier.ZoneName `json:"zone"`
	State VMState             `json:"state"`
	// PeerAddress is the address for other daemons, empty for the VMs of upstreams.
	PeerAddress identifier.Address `json:"peer,omitempty"`
	// OperatorAddress is the address for operators, empty for the VMs of upstreams.
	OperatorAddress identifier.Address `json:"operator,omitempty"`
}

// VMList is the response to a request for the list of VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Client calls the log service over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client of the log service at an address, and a clean-up
// function that closes its idle connections.
func NewClient(address identifier.Address) (c *Client, cleanup func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: maxHeadBytes}
	c = &Client{baseURL: "http://" + string(address), httpClient: &http.Client{Transport: transport}}
	return c, transport.CloseIdleConnections
}

// Append appends a record and returns its offset. If it returns an error, the
// record may still have been appended.
func (c *Client) Append(ctx context.Context, stream identifier.StreamName, data []byte) (offset identifier.Offset, err error) {
	var out AppendResponse
	path := "/v1/streams/" + url.PathEscape(string(stream))
	err = c.do(ctx, http.MethodPost, path, bytes.NewReader(data), &out, maxResponseBytes)
	return out.Offset, err
}

// Read returns up to limit records, beginning at an offset. If there are none yet,
// the service waits up to maxWait for the first one.
func (c *Client) Read(ctx context.Context, stream identifier.StreamName, from identifier.Offset, limit int, maxWait time.Duration) (batch Batch, err error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(int64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait", maxWait.String())
	path := "/v1/streams/" + url.PathEscape(string(stream)) + "?" + query.Encode()
	err = c.do(ctx, http.MethodGet, path, nil, &batch, maxBatchBytes)
	return batch, err
}

// ListVMs returns the platform's list of VMs, which lags behind the actual state.
func (c *Client) ListVMs(ctx context.Context) (vms []VM, err error) {
	var list VMList
	err = c.do(ctx, http.MethodGet, "/v1/vms", nil, &list, maxResponseBytes)
	return list.VMs, err
}

func (c *Client) do(ctx context.Context, method, path string, body io.Reader, out any, maxBytes int64) (err error) {
	defer annotator.Annotate(&err, "call the log service: %s %s", method, path)
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return err
	}
	req.GetBody = nil
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return err
	}
	if int64(len(raw)) > maxBytes {
		return errResponseTooLarge
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.Unmarshal(raw, out)
}
