package kvstore

import "github.com/cockroachdb/errors"

// ErrNewEra means that the service was restored from an older copy since the start revision of a watch. The caller must
// read the keys and start a new watch.
var ErrNewEra = errors.New("store restored from an older copy")

// A service that is restored from an older copy assigns revisions again and begins a new era. Its adapter puts the era
// into the high bits of each revision, so that revisions keep increasing and identify a write across eras. Together they
// have 53 bits: revisions are used as fencing tokens, which travel as JSON numbers.
const (
	eraBits      = 13
	revisionBits = 40
)

// RevisionInEra returns the revision that identifies a write of an era. Errors: an era or revision out of range.
func RevisionInEra(era, revision int64) (Revision, error) {
	if era < 0 || era >= 1<<eraBits || revision < 0 || revision >= 1<<revisionBits {
		return 0, errors.Newf("era %d or revision %d out of range", era, revision)
	}
	return Revision(era<<revisionBits | revision), nil
}

// Era returns the era of a revision; zero for a service without eras.
func (r Revision) Era() int64 {
	return int64(r) >> revisionBits
}

// WithinEra returns the number that the service itself assigned to a revision.
func (r Revision) WithinEra() int64 {
	return int64(r) & (1<<revisionBits - 1)
}
