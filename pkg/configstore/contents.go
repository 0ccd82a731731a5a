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
	// HeadBytes is the encoded head as stored.
	HeadBytes []byte
	// Bundles maps the digest of every bundle of the head to its content.
	Bundles map[string][]byte

	parsed map[string]parsedBundle
	// modRevision is the store revision that last changed the head; zero when the head is from a peer or does not exist.
	modRevision kvstore.Revision
	// storeRevision is the store's revision at the read; zero when the head is from a peer.
	storeRevision kvstore.Revision
}

// NewContents verifies a head and its bundles, for example those received from a peer. Bundles that previous has are
// reused; previous may be nil. Errors: ErrFormat when a digest does not match or a bundle is missing.
func NewContents(headBytes []byte, bundles []Bundle, previous *Contents) (*Contents, error) {
	head, err := ParseHead(headBytes)
	if err != nil {
		return nil, err
	}
	received := make(map[string][]byte, len(bundles))
	for _, b := range bundles {
		received[b.Digest] = b.Content
	}
	c := newContents(head, headBytes)
	for _, ref := range head.Bundles {
		if c.reuseBundle(ref.Digest, previous) {
			continue
		}
		content, ok := received[ref.Digest]
		if !ok {
			return nil, errors.Wrapf(ErrFormat, "bundle %s is missing", ref.Digest)
		}
		if err := c.addBundle(ref.Digest, content); err != nil {
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

// addBundle verifies and parses a bundle.
func (c *Contents) addBundle(digest string, content []byte) error {
	parsed, err := parseBundle(digest, content)
	if err != nil {
		return err
	}
	c.Bundles[digest] = content
	c.parsed[digest] = parsed
	return nil
}

// reuseBundle copies a bundle from previous and reports whether previous has it.
func (c *Contents) reuseBundle(digest string, previous *Contents) bool {
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

// Findings returns the findings of parsing the bundles. config.BuildSnapshot validates the content of the records.
func (c *Contents) Findings() findings.List {
	var found findings.List
	for _, ref := range c.Head.Bundles {
		found.Append(c.parsed[ref.Digest].found)
	}
	return found
}

// Missing returns the digests of the bundles of head that c lacks. c may be nil.
func (c *Contents) Missing(head *Head) []string {
	var missing []string
	for _, ref := range head.Bundles {
		if c == nil || c.Bundles[ref.Digest] == nil {
			missing = append(missing, ref.Digest)
		}
	}
	return missing
}

// Digests returns the digests of all bundles in the order of the head. c may be nil.
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

// StoreRevision returns the store's revision at which the configuration was read; zero when it is from a peer.
func (c *Contents) StoreRevision() kvstore.Revision {
	return c.storeRevision
}
