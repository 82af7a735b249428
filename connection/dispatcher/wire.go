package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/identifier"
)

// Paths of an engine's HTTP API. An attempt's id follows PathAttempts.
const (
	PathPrefill     = "/v1/prefill"
	PathDecode      = "/v1/decode"
	PathAttempts    = "/v1/attempts/"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
)

const (
	// BytesPerToken is the fixed ratio by which CountTokens estimates the tokens of
	// a prompt.
	BytesPerToken = 4
	// BlockTokens is the size of a block of an engine's prefix cache, in tokens.
	BlockTokens = 2000
	blockBytes  = BlockTokens * BytesPerToken
)

// PrefillRequest asks a prefill engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Attempt   identifier.AttemptID     `json:"attempt"`
	Workspace identifier.WorkspaceName `json:"workspace"`
	Model     identifier.ModelName     `json:"model"`
	Prompt    string                   `json:"prompt"`
	// Priority orders the engine's queue: lower values are served first.
	Priority int `json:"priority"`
}

// PrefillResponse describes the KV cache that a prefill left in the engine.
type PrefillResponse struct {
	Attempt identifier.AttemptID `json:"attempt"`
	// Handle identifies the KV cache when a decode engine imports it.
	Handle       string            `json:"handle"`
	PromptTokens identifier.Tokens `json:"prompt-tokens"`
	// CachedTokens is the part of the prompt that was in the engine's prefix cache.
	CachedTokens identifier.Tokens `json:"cached-tokens"`
	// HandleTTLMillis is how long the engine keeps the KV cache, in milliseconds.
	HandleTTLMillis int64 `json:"lifetime-ms"`
}

// KVSource tells a decode engine from which prefill engine to import a KV cache.
type KVSource struct {
	Address identifier.Address `json:"address"`
	Handle  string             `json:"handle"`
}

// DecodeRequest asks a decode engine to generate tokens.
type DecodeRequest struct {
	Attempt   identifier.AttemptID     `json:"attempt"`
	Workspace identifier.WorkspaceName `json:"workspace"`
	Model     identifier.ModelName     `json:"model"`
	Prompt    string                   `json:"prompt"`
	Source    KVSource                 `json:"source"`
	// FirstIndex is the index of the first token to generate.
	FirstIndex int `json:"first-index"`
	// MaxTokens limits the tokens that this attempt generates.
	MaxTokens int `json:"max-tokens"`
	// Priority orders the engine's queue: lower values are served first.
	Priority int `json:"priority"`
}

// Frame is one event of a decode stream: a token, or the end of the stream.
type Frame struct {
	Attempt identifier.AttemptID `json:"attempt"`
	// Index is the index of the token in the output, counted from 0.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// Done marks the final frame of a complete stream; Index is then the token
	// count.
	Done bool `json:"done,omitempty"`
	// FinishReason is "stop" or "length" in the final frame, empty before.
	FinishReason string `json:"reason,omitempty"`
}

// CancelRequest asks an engine to cancel attempts and free their resources.
type CancelRequest struct {
	Attempts []identifier.AttemptID `json:"attempts"`
}

// CancelResponse is the response to a CancelRequest.
type CancelResponse struct {
	// Cancelled is the number of cancelled attempts.
	Cancelled int `json:"cancelled"`
}

// LoadReport is an engine's report of its load. It lags behind the actual load.
type LoadReport struct {
	Upstream identifier.UpstreamName `json:"upstream"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the maximum number of requests that the engine runs at once.
	Slots int `json:"seats"`
	// QueuedTokens is the queued prefill work.
	QueuedTokens identifier.Tokens `json:"queued-tokens"`
	// HeldCaches counts the attempts whose KV cache is in the engine's memory.
	HeldCaches int `json:"held"`
	// Draining is true if the engine should get no new work.
	Draining bool `json:"leaving"`
}

// BlockHash identifies a prefix of a prompt that ends at a block boundary, for one
// model.
type BlockHash uint64

// CacheEvent reports that an engine stored a block in its prefix cache, or evicted
// it if Stored is false.
type CacheEvent struct {
	Sequence int64     `json:"sequence"`
	Block    BlockHash `json:"block"`
	Stored   bool      `json:"stored"`
}

// CacheEvents is a batch of cache events.
type CacheEvents struct {
	// NextSequence is the sequence number from which to read the next batch.
	NextSequence int64        `json:"next"`
	Events       []CacheEvent `json:"events"`
}

// CountTokens returns the number of tokens that a prompt counts as, in scheduling
// and against limits.
func CountTokens(prompt string) identifier.Tokens {
	return identifier.Tokens((len(prompt) + BytesPerToken - 1) / BytesPerToken)
}

// PromptBlockHashes returns the hashes of the prompt's full blocks, in order. Each
// covers the model and the whole prompt up to the end of its block.
func PromptBlockHashes(model identifier.ModelName, prompt string) []BlockHash {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(model))
	var blocks []BlockHash
	for len(prompt) >= blockBytes {
		_, _ = hash.WriteString(prompt[:blockBytes])
		prompt = prompt[blockBytes:]
		blocks = append(blocks, BlockHash(hash.Sum64()))
	}
	return blocks
}

// HandleTTL returns how long the engine keeps the KV cache.
func (r PrefillResponse) HandleTTL() time.Duration {
	return time.Duration(r.HandleTTLMillis) * time.Millisecond
}
