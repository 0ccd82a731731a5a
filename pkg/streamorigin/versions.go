package streamorigin

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Versions are the software versions at which streams of each service may have begun, in order. A version is added before
// the first stream begins there, so that a stream without a record began at the only one if there is only one.
type Versions map[string][]string

// DecodeVersions decodes what Encode returned.
func DecodeVersions(encoded []byte) (Versions, error) {
	var v Versions
	if err := json.Unmarshal(encoded, &v); err != nil {
		return nil, errors.Wrap(err, "decode versions of services")
	}
	return v, nil
}

// Encode encodes the versions.
func (v Versions) Encode() ([]byte, error) {
	encoded, err := json.Marshal(v)
	return encoded, errors.Wrap(err, "encode versions of services")
}

// With returns the versions and those of other.
func (v Versions) With(other Versions) Versions {
	union := maps.Clone(v)
	if union == nil {
		union = make(Versions)
	}
	for service, versions := range other {
		all := append(slices.Clone(union[service]), versions...)
		slices.Sort(all)
		union[service] = slices.Compact(all)
	}
	return union
}

// Without returns the versions without one of a service.
func (v Versions) Without(service, version string) Versions {
	rest := maps.Clone(v)
	rest[service] = slices.DeleteFunc(slices.Clone(rest[service]), func(known string) bool { return known == version })
	return rest
}

// Contain reports whether all versions of other are among these.
func (v Versions) Contain(other Versions) bool {
	for service, versions := range other {
		for _, version := range versions {
			if !slices.Contains(v[service], version) {
				return false
			}
		}
	}
	return true
}
