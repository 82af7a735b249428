package reducer

import (
	"reflect"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// Contains reports whether the version already has all changes of a publication. If
// so, changedAt is the offset of the newest record that made one of these changes.
func (v *Version) Contains(pub *parser.Publication) (changedAt identifier.Offset, ok bool) {
	for _, profile := range pub.Profiles {
		if v.Profiles[profile.Name] != profile {
			return 0, false
		}
	}
	for _, service := range pub.Services {
		if !reflect.DeepEqual(v.Services[service.Name], service) {
			return 0, false
		}
	}
	for _, workspace := range pub.Workspaces {
		if !reflect.DeepEqual(v.Workspaces[workspace.Name], workspace) {
			return 0, false
		}
	}
	for _, key := range pub.Keys {
		if v.Keys[key.Digest] != key.Workspace {
			return 0, false
		}
	}
	changedAt = identifier.NoOffset
	for _, digest := range pub.Withdrawals {
		withdrawnAt, isWithdrawn := v.Withdrawn[digest]
		if !isWithdrawn {
			return 0, false
		}
		changedAt = max(changedAt, withdrawnAt)
	}
	for _, object := range ChangedObjects(pub) {
		changedAt = max(changedAt, v.ChangedAt[object])
	}
	return changedAt, true
}
