// Package parser defines the objects of the configuration and parses publications,
// the JSON records with which operators change them.
package parser

import (
	"fmt"
	"regexp"
	"time"

	"sassafraspass.dev/sassafraspass/decoder"
	"sassafraspass.dev/sassafraspass/identifier"
)

// Class is the scheduling class of waiting requests.
type Class string

// The classes, most urgent first.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// Idempotency tells whether the calls of a service are idempotent. Only idempotent
// calls may be sent more than once.
type Idempotency string

// The values of Idempotency.
const (
	Idempotent    Idempotency = "always"
	NonIdempotent Idempotency = "never"
)

// Access tells whether callers must authenticate.
type Access string

// The values of Access.
const (
	// AccessKey requires an API key.
	AccessKey Access = "key"
	// AccessAnonymous also allows calls without a key.
	AccessAnonymous Access = "open"
)

// Kind is the kind of a service.
type Kind string

// The kinds of services.
const (
	// KindModel services run a language model on engines.
	KindModel Kind = "model"
	// KindPlain services are ordinary HTTP servers.
	KindPlain Kind = "plain"
)

// Role is the role of an upstream in its service.
type Role string

// The roles of upstreams: engines that run the prefill or the decode phase of a
// model, and servers of plain services.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RolePlain   Role = "plain"
)

// Publication is one atomic change of the configuration. It adds or replaces
// whole objects, and withdraws keys.
type Publication struct {
	// ID identifies the publication, so that it takes effect only once if it is
	// appended twice.
	ID identifier.PublicationID `json:"publication,omitempty"`
	// BasedOn is the number of the version that the operator saw. It detects
	// conflicting changes.
	BasedOn     *identifier.Offset     `json:"based-on,omitempty"`
	Profiles    []Profile              `json:"profiles,omitempty"`
	Services    []Service              `json:"services,omitempty"`
	Workspaces  []Workspace            `json:"workspaces,omitempty"`
	Keys        []Key                  `json:"keys,omitempty"`
	Withdrawals []identifier.KeyDigest `json:"withdrawals,omitempty"` // keys to withdraw
}

// Profile is a named set of policy settings that services run under.
type Profile struct {
	Name        identifier.ProfileName `json:"name"`
	Class       Class                  `json:"class"`
	Idempotency Idempotency            `json:"repeat"`
	Access      Access                 `json:"access"`
	// Timeout limits the time from the arrival of a request to its first token, or to
	// the whole response of a plain service.
	Timeout time.Duration `json:"deadline"`
	// MaxOutput limits the output tokens of one request.
	MaxOutput identifier.Tokens `json:"max-output,omitempty"`
	// CallTokens is what one call of a plain service takes from the workspace's
	// limit.
	CallTokens identifier.Tokens `json:"call-tokens,omitempty"`
}

// Service is a model service or a plain service.
type Service struct {
	Name    identifier.ServiceName `json:"name"`
	Kind    Kind                   `json:"kind"`
	Profile identifier.ProfileName `json:"profile"`
	// Model is the name that callers use in their requests. It is set for model
	// services only.
	Model identifier.ModelName `json:"model,omitempty"`
	// Paths lists the path prefixes that the service handles. It is set for
	// plain services only.
	Paths     []string   `json:"paths,omitempty"`
	Upstreams []Upstream `json:"upstreams"`
	// Engine describes the engines of a model service that gets pass-through
	// requests. It is nil for other services.
	Engine *EngineProfile `json:"engine,omitempty"`
	// ColdPeriod is how long an upstream is cold after its start, and ColdRate the
	// requests per second that one cold upstream may get; zero sets no limit.
	ColdPeriod time.Duration `json:"cold-period,omitempty"`
	ColdRate   float64       `json:"cold-rate,omitempty"`
}

// Upstream is a model engine or a server of a plain service.
type Upstream struct {
	Name    identifier.UpstreamName `json:"name"`
	VM      identifier.VMName       `json:"vm"`
	Zone    identifier.ZoneName     `json:"zone"`
	Address identifier.Address      `json:"address"`
	Role    Role                    `json:"role"`
	// Slots is the maximum number of requests that a decode engine runs at once, which
	// is its batch size.
	Slots int `json:"seats,omitempty"`
}

// Workspace is a tenant and its token-bucket limit.
type Workspace struct {
	Name identifier.WorkspaceName `json:"name"`
	// Rate is the refill rate in tokens per second, summed over all VMs. Zero
	// means no limit; Parse rejects it.
	Rate identifier.Tokens `json:"rate"`
	// Burst is the bucket capacity, summed over all VMs.
	Burst identifier.Tokens `json:"burst"`
	// Priority is the priority of the workspace's pass-through requests. Zero is
	// the most urgent; nil means the priority of the route.
	Priority *int `json:"priority,omitempty"`
	// CallTokens is what a pass-through request without token counts takes from the
	// limit.
	CallTokens identifier.Tokens `json:"call-tokens,omitempty"`
	// AllowedRegions lists the regions to whose upstreams the workspace's pass-through
	// requests may be sent. If empty, all are allowed.
	AllowedRegions []identifier.RegionName `json:"allowed-regions,omitempty"`
}

// IsLimited reports whether the workspace has a rate limit.
func (w Workspace) IsLimited() bool {
	return w.Rate > 0
}

// Key is an API key, with which callers call on behalf of a workspace.
type Key struct {
	Digest    identifier.KeyDigest     `json:"digest"`
	Workspace identifier.WorkspaceName `json:"workspace"`
}

const (
	maxNameBytes = 64
	minTimeout   = 10 * time.Millisecond
	maxTimeout   = time.Hour
	maxTokens    = 1_000_000_000_000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]+([-.][a-z0-9]+)*$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Parse decodes a publication and validates its fields. The file name appears in
// the errors, which are of type *decoder.FieldError.
func Parse(file string, text []byte) (pub *Publication, err error) {
	pub = &Publication{}
	doc, err := decoder.Decode(file, text, pub)
	if err != nil {
		return nil, err
	}
	v := validator{doc: doc}
	v.checkPublication(pub)
	if v.err != nil {
		return nil, v.err
	}
	return pub, nil
}

// validator checks the fields of a publication and keeps the first error. The
// pointer in its methods is the JSON pointer of the value to check.
type validator struct {
	doc *decoder.Document
	err error
}

// require records an error for the value at a JSON pointer if the condition does
// not hold and no earlier check has failed.
func (v *validator) require(ok bool, pointer, format string, args ...any) {
	if ok || v.err != nil {
		return
	}
	v.err = v.doc.Errorf(pointer, format, args...)
}

func (v *validator) checkPublication(pub *Publication) {
	size := len(pub.Profiles) + len(pub.Services) + len(pub.Workspaces) + len(pub.Keys) + len(pub.Withdrawals)
	v.require(size > 0, "", "a publication must change something")
	v.require(pub.BasedOn == nil || *pub.BasedOn >= identifier.NoOffset, "/based-on", "must not be below %d", identifier.NoOffset)
	for i, p := range pub.Profiles {
		v.checkProfile(fmt.Sprintf("/profiles/%d", i), p)
	}
	for i, s := range pub.Services {
		v.checkService(fmt.Sprintf("/services/%d", i), s)
	}
	for i, w := range pub.Workspaces {
		v.checkWorkspace(fmt.Sprintf("/workspaces/%d", i), w)
	}
	for i, k := range pub.Keys {
		pointer := fmt.Sprintf("/keys/%d", i)
		v.checkDigest(pointer+"/digest", k.Digest)
		v.checkName(pointer+"/workspace", string(k.Workspace))
	}
	for i, digest := range pub.Withdrawals {
		v.checkDigest(fmt.Sprintf("/withdrawals/%d", i), digest)
	}
}

func (v *validator) checkProfile(pointer string, p Profile) {
	v.checkName(pointer+"/name", string(p.Name))
	v.require(p.Class == ClassInteractive || p.Class == ClassBatch, pointer+"/class", "must be %q or %q", ClassInteractive, ClassBatch)
	v.require(p.Idempotency == Idempotent || p.Idempotency == NonIdempotent, pointer+"/repeat", "must be %q or %q", Idempotent, NonIdempotent)
	v.require(p.Access == AccessKey || p.Access == AccessAnonymous, pointer+"/access", "must be %q or %q", AccessKey, AccessAnonymous)
	v.require(p.Timeout >= minTimeout && p.Timeout <= maxTimeout, pointer+"/deadline", "must be from %s to %s", minTimeout, maxTimeout)
	v.checkTokens(pointer+"/max-output", p.MaxOutput)
	v.checkTokens(pointer+"/call-tokens", p.CallTokens)
}

func (v *validator) checkService(pointer string, s Service) {
	v.checkName(pointer+"/name", string(s.Name))
	v.checkName(pointer+"/profile", string(s.Profile))
	switch s.Kind {
	case KindModel:
		v.require(s.Model != "", pointer+"/model", "a model service must name its model")
		v.require(len(s.Paths) == 0, pointer+"/paths", "a model service has no paths of its own")
	case KindPlain:
		v.require(len(s.Paths) > 0, pointer+"/paths", "a plain service must name its paths")
		v.require(s.Model == "", pointer+"/model", "a plain service has no model")
	default:
		v.require(false, pointer+"/kind", "must be %q or %q", KindModel, KindPlain)
	}
	for i, path := range s.Paths {
		v.require(path != "" && path[0] == '/', fmt.Sprintf("%s/paths/%d", pointer, i), "must start with a slash")
	}
	for i, u := range s.Upstreams {
		v.checkUpstream(fmt.Sprintf("%s/upstreams/%d", pointer, i), s.Kind, u)
	}
}

func (v *validator) checkUpstream(pointer string, kind Kind, u Upstream) {
	v.checkName(pointer+"/name", string(u.Name))
	v.checkName(pointer+"/vm", string(u.VM))
	v.checkName(pointer+"/zone", string(u.Zone))
	v.require(u.Address != "", pointer+"/address", "must not be empty")
	isEngine := u.Role == RolePrefill || u.Role == RoleDecode
	if kind == KindModel {
		v.require(isEngine, pointer+"/role", "must be %q or %q", RolePrefill, RoleDecode)
	} else {
		v.require(u.Role == RolePlain, pointer+"/role", "must be %q", RolePlain)
	}
	v.require(u.Role != RoleDecode || u.Slots > 0, pointer+"/seats", "a decode engine must have seats")
}

func (v *validator) checkWorkspace(pointer string, w Workspace) {
	v.checkName(pointer+"/name", string(w.Name))
	v.require(w.Rate > 0, pointer+"/rate", "must be above 0 tokens a second")
	v.require(w.Burst > 0, pointer+"/burst", "must be above 0 tokens")
	v.checkTokens(pointer+"/rate", w.Rate)
	v.checkTokens(pointer+"/burst", w.Burst)
}

func (v *validator) checkName(pointer, name string) {
	v.require(len(name) <= maxNameBytes, pointer, "must have at most %d characters", maxNameBytes)
	v.require(namePattern.MatchString(name), pointer, "must be kebab case, such as \"price-lock\"")
}

func (v *validator) checkDigest(pointer string, digest identifier.KeyDigest) {
	v.require(digestPattern.MatchString(string(digest)), pointer, "must be a SHA-256 digest in lower-case hex")
}

func (v *validator) checkTokens(pointer string, n identifier.Tokens) {
	v.require(n >= 0 && n <= maxTokens, pointer, "must be from 0 to %d tokens", int64(maxTokens))
}
