// Package messenger implements the client and the server of the peer protocol, by
// which daemons call each other over Connect RPC.
package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1/peerv1connect"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

const (
	maxIdleConnsPerPeer = 32
	idleConnTimeout     = 30 * time.Second
	// maxMessageBytes limits a message, and maxHeadBytes the head of a response.
	maxMessageBytes = 16 << 20
	maxHeadBytes    = 16 << 10
)

// Attempt is one attempt to run a request on an engine, as the replicas of the
// attempt journal record it.
type Attempt struct {
	ID       identifier.AttemptID
	Upstream identifier.UpstreamName
	Address  identifier.Address
}

// JournalUpdate is an update of a daemon's attempt journal: a batch of attempts that
// the daemon has started and ended.
type JournalUpdate struct {
	// Incarnation identifies the daemon that sends the update.
	Incarnation identifier.Incarnation
	// IsSnapshot is true if Started lists all running attempts of the daemon. It
	// replaces what the replica has recorded for the daemon.
	IsSnapshot bool
	Started    []Attempt
	Ended      []identifier.AttemptID
}

// ConfigUpdate brings a peer's configuration up to date, with either the records
// that follow the peer's version or a complete version.
type ConfigUpdate struct {
	Records []appender.Record
	// Version is nil if the update has the records instead.
	Version *reducer.Version
	// Epoch is the newest epoch that the sender knows.
	Epoch epochtracker.Epoch
}

// Client calls other daemons. It is safe for concurrent use.
type Client struct {
	// OnMessage is called with the size of each message that is sent or received.
	OnMessage OnMessage

	httpClient *http.Client

	mu    sync.Mutex
	peers map[identifier.Address]peerv1connect.PeerClient
	// zones holds the zones of the peers that responded to a heartbeat.
	zones map[identifier.Address]identifier.ZoneName
}

// NewClient returns a client and a clean-up function that closes its idle
// connections.
func NewClient() (c *Client, cleanup func()) {
	transport := &http.Transport{DialContext: newPeerDialer().dial, MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeadBytes}
	return NewClientOver(transport), transport.CloseIdleConnections
}

// NewClientOver returns a client that sends its requests by the given transport.
func NewClientOver(transport http.RoundTripper) *Client {
	return &Client{
		OnMessage:  ignoreMessage,
		httpClient: &http.Client{Transport: &limitedTransport{underlying: &countingTransport{underlying: transport}}},
		peers:      make(map[identifier.Address]peerv1connect.PeerClient),
		zones:      make(map[identifier.Address]identifier.ZoneName),
	}
}

var errMessageTooLarge = errors.New("the message exceeds the size limit")

// limitedTransport limits the bodies of responses to maxMessageBytes. The limit of
// Connect covers neither error responses nor what it discards of a message that is too
// large.
type limitedTransport struct {
	underlying http.RoundTripper
}

// RoundTrip sends a request.
func (t *limitedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.underlying.RoundTrip(req)
	if err == nil {
		resp.Body = &limitedBody{ReadCloser: resp.Body, bytesLeft: maxMessageBytes}
	}
	return resp, err
}

// limitedBody fails with errMessageTooLarge after bytesLeft bytes.
type limitedBody struct {
	io.ReadCloser
	bytesLeft int
}

// Read reads from the body.
func (b *limitedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p[:min(len(p), b.bytesLeft+1)])
	b.bytesLeft -= n
	if b.bytesLeft < 0 {
		return 0, errMessageTooLarge
	}
	return n, err
}

func (c *Client) peerClient(address identifier.Address) peerv1connect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer, ok := c.peers[address]
	if !ok {
		peer = peerv1connect.NewPeerClient(c.httpClient, "http://"+string(address),
			connect.WithReadMaxBytes(maxMessageBytes),
			connect.WithInterceptors(c.countingInterceptor(address)),
			connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor),
			connect.WithCompressMinBytes(minCompressedBytes))
		c.peers[address] = peer
	}
	return peer
}

// Heartbeat sends this daemon's heartbeat to a peer and returns the peer's
// heartbeat.
func (c *Client) Heartbeat(ctx context.Context, address identifier.Address, heartbeat heartbeater.Heartbeat) (response heartbeater.Heartbeat, err error) {
	defer annotator.Annotate(&err, "heartbeat to %s", address)
	resp, err := c.peerClient(address).Heartbeat(ctx, connect.NewRequest(&peerv1.HeartbeatRequest{Beat: encodeHeartbeat(heartbeat)}))
	if err != nil {
		return response, err
	}
	return decodeHeartbeat(resp.Msg.GetBeat()), nil
}

// Borrow asks a peer for part of its share of a workspace's limit.
func (c *Client) Borrow(ctx context.Context, address identifier.Address, req limiter.BorrowRequest) (response limiter.BorrowResponse, err error) {
	defer annotator.Annotate(&err, "borrow from %s", address)
	resp, err := c.peerClient(address).Borrow(ctx, connect.NewRequest(encodeBorrow(req)))
	if err != nil {
		return response, err
	}
	return limiter.BorrowResponse{
		Epoch:          identifier.Position(resp.Msg.GetEpoch()),
		Share:          identifier.PartsPerMillion(resp.Msg.GetParts()),
		Tokens:         resp.Msg.GetTokens(),
		RemainingShare: identifier.PartsPerMillion(resp.Msg.GetLeftParts()),
	}, nil
}

// SendJournal sends an update of this daemon's attempt journal to a replica.
func (c *Client) SendJournal(ctx context.Context, address identifier.Address, update JournalUpdate) (err error) {
	defer annotator.Annotate(&err, "send journal to %s", address)
	_, err = c.peerClient(address).Journal(ctx, connect.NewRequest(encodeJournal(update)))
	return err
}

// FetchConfig asks a peer for the changes of the configuration after a version,
// which is given by its number.
func (c *Client) FetchConfig(ctx context.Context, address identifier.Address, after identifier.Offset) (update ConfigUpdate, err error) {
	defer annotator.Annotate(&err, "fetch configuration from %s", address)
	resp, err := c.peerClient(address).FetchConfig(ctx, connect.NewRequest(&peerv1.FetchConfigRequest{Above: int64(after)}))
	if err != nil {
		return update, err
	}
	return decodeConfig(resp.Msg)
}

func decodeConfig(msg *peerv1.FetchConfigResponse) (update ConfigUpdate, err error) {
	for _, record := range msg.GetRecords() {
		update.Records = append(update.Records, appender.Record{
			Offset: identifier.Offset(record.GetOffset()),
			Data:   record.GetData(),
		})
	}
	if len(msg.GetVersion()) > 0 {
		update.Version, err = reducer.Unmarshal(msg.GetVersion())
		if err != nil {
			return update, err
		}
	}
	err = json.Unmarshal(msg.GetEpoch(), &update.Epoch)
	return update, err
}
