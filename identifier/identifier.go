// Package identifier defines the types for names, ids and quantities that the other
// packages share.
package identifier

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// Names of objects that operators publish, or that the platform lists.
type (
	// WorkspaceName names a tenant.
	WorkspaceName string
	// ProfileName names a set of policy settings that services run under.
	ProfileName string
	// ServiceName names a model service or a plain service.
	ServiceName string
	// ModelName names a language model in the requests of callers.
	ModelName string
	// VMName names a virtual machine of the platform.
	VMName string
	// ZoneName names an availability zone.
	ZoneName string
	// RegionName names a region, which consists of zones.
	RegionName string
	// UpstreamName names a model engine or a server of a plain service.
	UpstreamName string
	// StreamName names a stream of the platform's log.
	StreamName string
)

// Addresses and ids.
type (
	// Address is an IP address with a port, such as "127.0.0.1:8080".
	Address string
	// AttemptID is the random 128-bit id, in lower-case hex, of one attempt to
	// run a request on an upstream.
	AttemptID string
	// Incarnation identifies one run of a daemon's process. It is a ULID.
	Incarnation string
	// KeyDigest is the SHA-256 digest of an API key, in lower-case hex.
	KeyDigest string
	// PromptPartID identifies a part of a prompt that several requests may share.
	PromptPartID string
	// PublicationID identifies a publication, so that it takes effect only once if
	// it is appended twice.
	PublicationID string
)

// Positions and quantities.
type (
	// Offset is the position of a record in a stream of the log. The first record
	// has offset 0.
	Offset int64
	// Tokens is a number of model tokens, of prompts, outputs or both.
	Tokens int64
	// PartsPerMillion is a share of a workspace's rate and burst, in parts per
	// million.
	PartsPerMillion int64
	// FencingToken orders the holders of a lease: each new holder's token is
	// higher than all earlier ones.
	FencingToken int64
)

const (
	// NoOffset is the offset before the first record of a stream. It means that
	// there is no record.
	NoOffset Offset = -1
	// WholeShare is the share that is a workspace's whole rate and burst.
	WholeShare PartsPerMillion = 1_000_000

	attemptIDBytes = 16
)

// NewAttemptID returns a random attempt id.
func NewAttemptID() AttemptID {
	raw := make([]byte, attemptIDBytes)
	_, _ = rand.Read(raw)
	return AttemptID(hex.EncodeToString(raw))
}

// NewKeyDigest returns the digest of an API key. Publications contain only the
// digest, never the key.
func NewKeyDigest(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}
