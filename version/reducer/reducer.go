// Package reducer builds the immutable versions of the configuration by applying
// the records of the config stream in the order of their offsets. A version is a
// pure function of the records, so all daemons that have read the same prefix of the
// stream hold the same version.
package reducer

import (
	"fmt"
	"maps"
	"slices"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// recordFileName is the file name in the errors about a record.
	recordFileName = "config-record"

	// A version has at most maxOutcomes outcomes. If there are more, the oldest are
	// evicted until keptOutcomes remain.
	maxOutcomes  = 4096
	keptOutcomes = 3072
)

// Reducer applies records to a version in the order of their offsets. It is not
// safe for concurrent use.
type Reducer struct {
	version *Version
	// shared is set while a caller may hold version, which must then be copied
	// before a change.
	shared bool
}

// New returns a Reducer that continues from a version. It does not modify that
// version.
func New(from *Version) *Reducer {
	return &Reducer{version: from, shared: true}
}

// Version returns the version after the last applied record. Later calls of Apply do
// not modify it.
func (r *Reducer) Version() *Version {
	r.shared = true
	return r.version
}

// Apply applies the record at an offset and returns the outcome of its publication.
// It ignores a record that is already applied, which has an offset up to the
// version's number. A record that cannot be parsed is counted in MalformedRecords
// and otherwise skipped. A publication whose id is known changes nothing; Apply
// returns its earlier outcome.
func (r *Reducer) Apply(offset identifier.Offset, data []byte) Outcome {
	if offset <= r.version.Number {
		return Outcome{Offset: offset, Reason: "the record is already applied"}
	}
	r.copyIfShared()
	r.version.Number = offset
	pub, err := parser.Parse(recordFileName, data)
	if err != nil {
		r.version.MalformedRecords++
		return Outcome{Offset: offset, Reason: err.Error()}
	}
	return r.applyPublication(offset, pub)
}

// applyPublication accepts or rejects a publication and stores the outcome. If the
// publication is a duplicate, it returns the earlier outcome.
func (r *Reducer) applyPublication(offset identifier.Offset, pub *parser.Publication) Outcome {
	earlier, isDuplicate := r.version.Outcomes[pub.ID]
	if isDuplicate && pub.ID != "" {
		return earlier
	}
	outcome := Outcome{Offset: offset, Accepted: true}
	err := r.validate(pub)
	if err != nil {
		outcome.Accepted = false
		outcome.Reason = err.Error()
	} else {
		r.applyChanges(offset, pub)
	}
	r.storeOutcome(pub.ID, outcome)
	return outcome
}

// validate returns the reason to reject a publication, or nil. A publication is
// rejected if one of its objects has changed since the version that it is based on.
func (r *Reducer) validate(pub *parser.Publication) error {
	if pub.BasedOn == nil {
		return fmt.Errorf("the publication does not say which version it is based on")
	}
	for _, object := range ChangedObjects(pub) {
		changedAt, known := r.version.ChangedAt[object]
		if known && changedAt > *pub.BasedOn {
			return fmt.Errorf("%s was changed at version %d, after version %d", object, changedAt, *pub.BasedOn)
		}
	}
	return r.validateReferences(pub)
}

// validateReferences returns an error if a publication refers to an unknown
// profile or workspace, or adds a withdrawn key.
func (r *Reducer) validateReferences(pub *parser.Publication) error {
	for _, service := range pub.Services {
		inPub := slices.ContainsFunc(pub.Profiles, func(p parser.Profile) bool { return p.Name == service.Profile })
		_, known := r.version.Profiles[service.Profile]
		if !known && !inPub {
			return fmt.Errorf("service %s names the unknown profile %s", service.Name, service.Profile)
		}
	}
	for _, key := range pub.Keys {
		inPub := slices.ContainsFunc(pub.Workspaces, func(w parser.Workspace) bool { return w.Name == key.Workspace })
		_, known := r.version.Workspaces[key.Workspace]
		if !known && !inPub {
			return fmt.Errorf("a key names the unknown workspace %s", key.Workspace)
		}
		_, withdrawn := r.version.Withdrawn[key.Digest]
		if withdrawn {
			return fmt.Errorf("the key %.8s… was withdrawn and cannot come back", key.Digest)
		}
	}
	return nil
}

// applyChanges makes the changes of an accepted publication. Each object replaces the
// one with the same name.
func (r *Reducer) applyChanges(offset identifier.Offset, pub *parser.Publication) {
	v := r.version
	for _, profile := range pub.Profiles {
		v.Profiles[profile.Name] = profile
	}
	for _, service := range pub.Services {
		v.Services[service.Name] = service
	}
	for _, workspace := range pub.Workspaces {
		v.Workspaces[workspace.Name] = workspace
	}
	for _, key := range pub.Keys {
		v.Keys[key.Digest] = key.Workspace
	}
	for _, digest := range pub.Withdrawals {
		delete(v.Keys, digest)
		v.Withdrawn[digest] = offset
	}
	for _, object := range ChangedObjects(pub) {
		v.ChangedAt[object] = offset
	}
}

// storeOutcome stores the outcome of a publication that has an id. If there are more
// than maxOutcomes, it evicts the oldest.
func (r *Reducer) storeOutcome(id identifier.PublicationID, outcome Outcome) {
	if id == "" {
		return
	}
	r.version.Outcomes[id] = outcome
	if len(r.version.Outcomes) <= maxOutcomes {
		return
	}
	offsets := make([]identifier.Offset, 0, len(r.version.Outcomes))
	for _, stored := range r.version.Outcomes {
		offsets = append(offsets, stored.Offset)
	}
	slices.Sort(offsets)
	oldestKept := offsets[len(offsets)-keptOutcomes]
	maps.DeleteFunc(r.version.Outcomes, func(_ identifier.PublicationID, stored Outcome) bool {
		return stored.Offset < oldestKept
	})
}

// copyIfShared replaces the version by a copy if a caller may hold it, so that it
// can be modified.
func (r *Reducer) copyIfShared() {
	if !r.shared {
		return
	}
	v := *r.version
	v.Profiles = maps.Clone(v.Profiles)
	v.Services = maps.Clone(v.Services)
	v.Workspaces = maps.Clone(v.Workspaces)
	v.Keys = maps.Clone(v.Keys)
	v.Withdrawn = maps.Clone(v.Withdrawn)
	v.ChangedAt = maps.Clone(v.ChangedAt)
	v.Outcomes = maps.Clone(v.Outcomes)
	r.version = &v
	r.shared = false
}

// ChangedObjects returns the objects that a publication changes. It does not list
// withdrawn keys, so that a withdrawal never conflicts with an earlier change.
func ChangedObjects(pub *parser.Publication) []ObjectID {
	var objects []ObjectID
	for _, p := range pub.Profiles {
		objects = append(objects, ObjectID("profile/"+p.Name))
	}
	for _, s := range pub.Services {
		objects = append(objects, ObjectID("service/"+s.Name))
	}
	for _, w := range pub.Workspaces {
		objects = append(objects, ObjectID("workspace/"+w.Name))
	}
	for _, k := range pub.Keys {
		objects = append(objects, ObjectID("key/"+k.Digest))
	}
	return objects
}
