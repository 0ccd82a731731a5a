package configstore

import (
	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// Contents is a complete configuration revision. It is immutable.
type Contents struct {
	Head *Head
	// HeadBytes is the head as it is stored.
	HeadBytes []byte
	// Bundles has the content of every bundle of the head by digest.
	Bundles map[string][]byte

	parsed map[string]parsedBundle
	// modRevision is the store revision of the head; zero when it came from a peer or does not exist.
	modRevision kvstore.Revision
	// storeRevision is the store's revision at the time of the read.
	storeRevision kvstore.Revision
}

// NewContents verifies a head and its bundles, for example from a peer. Bundles that are missing are taken from
// previous, which may be nil. Errors: ErrFormat when a digest does not match or a bundle is missing.
func NewContents(headBytes []byte, bundles []Bundle, previous *Contents) (*Contents, error) {
	head, err := ParseHead(headBytes)
	if err != nil {
		return nil, err
	}
	given := make(map[string][]byte, len(bundles))
	for _, b := range bundles {
		given[b.Digest] = b.Content
	}
	c := newContents(head, headBytes)
	for _, ref := range head.Bundles {
		if c.reuse(ref.Digest, previous) {
			continue
		}
		content, ok := given[ref.Digest]
		if !ok {
			return nil, errors.Wrapf(ErrFormat, "bundle %s is missing", ref.Digest)
		}
		if err := c.add(ref.Digest, content); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func newContents(head *Head, headBytes []byte) *Contents {
	return &Contents{
		Head:      head,
		HeadBytes: headBytes,
		Bundles:   make(map[string][]byte, len(head.Bundles)),
		parsed:    make(map[string]parsedBundle, len(head.Bundles)),
	}
}

func (c *Contents) add(digest string, content []byte) error {
	parsed, err := parseBundle(digest, content)
	if err != nil {
		return err
	}
	c.Bundles[digest] = content
	c.parsed[digest] = parsed
	return nil
}

func (c *Contents) reuse(digest string, previous *Contents) bool {
	if previous == nil {
		return false
	}
	content, ok := previous.Bundles[digest]
	if ok {
		c.Bundles[digest] = content
		c.parsed[digest] = previous.parsed[digest]
	}
	return ok
}

// Records returns all records.
func (c *Contents) Records() []config.RawRecord {
	var records []config.RawRecord
	for _, ref := range c.Head.Bundles {
		records = append(records, c.parsed[ref.Digest].records...)
	}
	return records
}

// Findings returns mistakes that were found while the bundles were read; those of the records' content are left to
// config.BuildSnapshot.
func (c *Contents) Findings() findings.List {
	var found findings.List
	for _, ref := range c.Head.Bundles {
		found.Append(c.parsed[ref.Digest].found)
	}
	return found
}

// Missing returns the digests of a head's bundles that c lacks. c may be nil.
func (c *Contents) Missing(head *Head) []string {
	var missing []string
	for _, ref := range head.Bundles {
		if c == nil || c.Bundles[ref.Digest] == nil {
			missing = append(missing, ref.Digest)
		}
	}
	return missing
}

// Digests returns the digests of all bundles, in the head's order. c may be nil.
func (c *Contents) Digests() []string {
	if c == nil {
		return nil
	}
	digests := make([]string, len(c.Head.Bundles))
	for i, ref := range c.Head.Bundles {
		digests[i] = ref.Digest
	}
	return digests
}

// StoreRevision is the store's revision at which the configuration was read; zero when it came from a peer.
func (c *Contents) StoreRevision() kvstore.Revision {
	return c.storeRevision
}
