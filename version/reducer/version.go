package reducer

import (
	"strings"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// Version is the configuration after a record of the config stream. A version
// in use is never modified.
type Version struct {
	// Number is the offset of the last record that was applied.
	Number     identifier.Offset                                 `json:"number"`
	Profiles   map[identifier.ProfileName]parser.Profile         `json:"profiles"`
	Services   map[identifier.ServiceName]parser.Service         `json:"services"`
	Workspaces map[identifier.WorkspaceName]parser.Workspace     `json:"workspaces"`
	Keys       map[identifier.KeyDigest]identifier.WorkspaceName `json:"keys"`
	// Withdrawn holds, for each withdrawn key, the offset of the record that withdrew
	// it. A withdrawn key cannot be added again.
	Withdrawn map[identifier.KeyDigest]identifier.Offset `json:"withdrawn"`
	// ChangedAt holds, for each object, the offset of the record that last
	// changed it.
	ChangedAt map[ObjectID]identifier.Offset `json:"changed-at"`
	// Outcomes holds the outcomes of the most recent publications, so that
	// duplicates of them are recognized.
	Outcomes map[identifier.PublicationID]Outcome `json:"publications"`
	// MalformedRecords is the number of records that could not be parsed.
	MalformedRecords int64 `json:"broken"`
	// Routes select the services of pass-through requests, which are forwarded
	// unchanged. Routes and Bounds come from the platform's own configuration format
	// (see package platform); publications do not change them.
	Routes []parser.Route `json:"routes,omitempty"`
	// Bounds limits what the callers of Routes may send.
	Bounds parser.CallerBounds `json:"bounds"`
}

// ObjectID identifies an object of a publication by kind and name, such as
// "profile/costing". The name of a key is its digest.
type ObjectID string

// Outcome tells whether a publication was accepted.
type Outcome struct {
	// Offset is the offset of the publication's record.
	Offset   identifier.Offset `json:"offset"`
	Accepted bool              `json:"accepted"`
	// Reason tells why the publication was rejected.
	Reason string `json:"reason,omitempty"`
}

// NewVersion returns the empty version, which precedes the first record.
func NewVersion() *Version {
	return &Version{
		Number:     identifier.NoOffset,
		Profiles:   make(map[identifier.ProfileName]parser.Profile),
		Services:   make(map[identifier.ServiceName]parser.Service),
		Workspaces: make(map[identifier.WorkspaceName]parser.Workspace),
		Keys:       make(map[identifier.KeyDigest]identifier.WorkspaceName),
		Withdrawn:  make(map[identifier.KeyDigest]identifier.Offset),
		ChangedAt:  make(map[ObjectID]identifier.Offset),
		Outcomes:   make(map[identifier.PublicationID]Outcome),
	}
}

// ServiceWithProfile is a service and the profile that it runs under.
type ServiceWithProfile struct {
	Service parser.Service
	Profile parser.Profile
}

// ServiceForPath returns the plain service with the longest prefix of a request's
// path. Prefixes match whole path segments only.
func (v *Version) ServiceForPath(path string) (match ServiceWithProfile, ok bool) {
	longest := -1
	for _, service := range v.Services {
		for _, prefix := range service.Paths {
			if len(prefix) <= longest || !hasPathPrefix(path, prefix) {
				continue
			}
			longest = len(prefix)
			match = ServiceWithProfile{Service: service, Profile: v.Profiles[service.Profile]}
		}
	}
	return match, longest >= 0
}

// ServiceForModel returns the model service that serves a model.
func (v *Version) ServiceForModel(model identifier.ModelName) (match ServiceWithProfile, ok bool) {
	for _, service := range v.Services {
		if service.Kind == parser.KindModel && service.Model == model {
			return ServiceWithProfile{Service: service, Profile: v.Profiles[service.Profile]}, true
		}
	}
	return ServiceWithProfile{}, false
}

// HasUpstream reports whether a service of this version lists the upstream.
func (v *Version) HasUpstream(name identifier.UpstreamName) bool {
	_, ok := v.Upstream(name)
	return ok
}

// Upstream returns the upstream with a name.
func (v *Version) Upstream(name identifier.UpstreamName) (parser.Upstream, bool) {
	for _, service := range v.Services {
		for _, upstream := range service.Upstreams {
			if upstream.Name == name {
				return upstream, true
			}
		}
	}
	return parser.Upstream{}, false
}

// hasPathPrefix reports whether prefix covers whole segments of path: "/a" is a
// prefix of "/a" and "/a/b", but not of "/ab".
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/")
}
