package configstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/internal/strictjson"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

const (
	// The mean size of bundles is kept between minMeanBundleBytes and maxMeanBundleBytes. A change transfers the head and
	// the changed bundles: smaller bundles make the head longer, larger ones transfer more unchanged records. The gap
	// between the limits prevents regrouping with each change of a configuration near a limit.
	minMeanBundleBytes = 8 << 10
	maxMeanBundleBytes = 48 << 10
	// maxBundleBytes is below the store's value limit and leaves space for the encoding in a request.
	maxBundleBytes = 700 << 10
	// maxBuckets bounds the number of buckets of a kind.
	maxBuckets = 1 << 16
)

// Bundle is an immutable group of records.
type Bundle struct {
	Digest  string
	Content []byte
}

// Digest returns the digest under which a bundle is stored: the hexadecimal SHA-256 of its content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// encodedRecord is a record in canonical form, in which records are compared and stored.
type encodedRecord struct {
	id   config.RecordID
	text []byte
	// revision is the configuration revision that last changed the record; zero means the revision that is being prepared.
	revision int64
}

// groupIntoBundles distributes the records over bundles. It returns the bundles, their content by digest and the number
// of buckets of each kind. previous is the number of buckets of each kind in the current head.
func groupIntoBundles(
	records []encodedRecord, previous map[config.Kind]int,
) ([]BundleRef, map[string][]byte, map[config.Kind]int) {
	byKind := make(map[config.Kind][]encodedRecord)
	for _, r := range records {
		byKind[r.id.Kind] = append(byKind[r.id.Kind], r)
	}
	var refs []BundleRef
	contents := make(map[string][]byte)
	buckets := make(map[config.Kind]int, len(byKind))
	for kind, ofKind := range byKind {
		sort.Slice(ofKind, func(i, j int) bool { return ofKind[i].id.Name < ofKind[j].id.Name })
		split, count := chooseBuckets(ofKind, max(previous[kind], 1))
		buckets[kind] = count
		for bucket, content := range split {
			digest := Digest(content)
			contents[digest] = content
			refs = append(refs, BundleRef{Kind: kind, Bucket: bucket, Digest: digest})
		}
	}
	sort.Slice(refs, func(i, j int) bool {
		if refs[i].Kind != refs[j].Kind {
			return refs[i].Kind < refs[j].Kind
		}
		return refs[i].Bucket < refs[j].Bucket
	})
	return refs, contents, buckets
}

// chooseBuckets chooses the number of buckets for the records of one kind, starting from count, and returns the content
// of each bucket and the number.
func chooseBuckets(records []encodedRecord, count int) (map[int][]byte, int) {
	total := 0
	for _, r := range records {
		total += len(r.text)
	}
	for count > 1 && total/count < minMeanBundleBytes {
		count /= 2
	}
	for count < maxBuckets && total/count > maxMeanBundleBytes {
		count *= 2
	}
	for {
		split := splitIntoBuckets(records, count)
		if count >= maxBuckets || largestBundleBytes(split) <= maxBundleBytes {
			return split, count
		}
		count *= 2
	}
}

// splitIntoBuckets returns the content of each non-empty bucket.
func splitIntoBuckets(records []encodedRecord, count int) map[int][]byte {
	lists := make(map[int][]encodedRecord)
	for _, r := range records {
		bucket := int(xxhash.Sum64String(r.id.Name) % uint64(count))
		lists[bucket] = append(lists[bucket], r)
	}
	split := make(map[int][]byte, len(lists))
	for bucket, list := range lists {
		split[bucket] = encodeBundle(list)
	}
	return split
}

// largestBundleBytes returns the size of the largest bundle.
func largestBundleBytes(split map[int][]byte) int {
	largest := 0
	for _, content := range split {
		largest = max(largest, len(content))
	}
	return largest
}

// revisionsField is the field of a bundle that maps "Kind/name" to the revision of the record.
const revisionsField = "revisions"

// encodeBundle encodes records in the format of a declaration file, one record a line, and appends their revisions.
func encodeBundle(records []encodedRecord) []byte {
	var b bytes.Buffer
	separator := "{\"records\":[\n"
	for _, r := range records {
		b.WriteString(separator)
		b.Write(r.text)
		separator = ",\n"
	}
	separator = "\n],\"" + revisionsField + "\":{\n"
	for _, r := range records {
		b.WriteString(separator)
		b.WriteString(strconv.Quote(r.id.String()))
		b.WriteByte(':')
		b.WriteString(strconv.FormatInt(r.revision, 10))
		separator = ",\n"
	}
	b.WriteString("\n}}\n")
	return b.Bytes()
}

// parsedBundle holds the records of a bundle and the findings of its parsing.
type parsedBundle struct {
	records []config.RawRecord
	found   findings.List
}

// parseBundle verifies the digest of a bundle and parses its records. Findings locate a record by kind and name rather
// than by position, so the location is stable when other records are added or removed. A mistake in one record, which
// another writer may have stored, is a finding and does not block the other records. Only a bundle without any readable
// record is an error.
func parseBundle(digest string, content []byte) (parsedBundle, error) {
	if actual := Digest(content); actual != digest {
		return parsedBundle{}, errors.Wrapf(ErrFormat, "bundle %s has digest %s", digest, actual)
	}
	doc, err := strictjson.Parse(content)
	if err != nil {
		return parsedBundle{}, errors.Wrapf(ErrFormat, "bundle %s: %v", digest, err)
	}
	revisions := extractRevisions(doc)
	raw, found := config.ParseDocument(storedFile, doc)
	if len(raw) == 0 {
		return parsedBundle{}, errors.Wrapf(ErrFormat, "bundle %s has no readable record: %v", digest, found.Err())
	}
	parsed := parsedBundle{found: found}
	for _, r := range raw {
		record := config.NewRawRecord(storedFile, "/"+r.RecordID.String(), r.Fields)
		record.Revision = revisions[r.RecordID.String()]
		parsed.records = append(parsed.records, record)
	}
	return parsed, nil
}

// extractRevisions returns the revisions of a bundle's records and removes them from doc, which then has the format of
// a declaration file.
func extractRevisions(doc strictjson.Document) map[string]int64 {
	root, _ := doc.Root.(map[string]any)
	nodes, _ := root[revisionsField].(map[string]any)
	delete(root, revisionsField)
	revisions := make(map[string]int64, len(nodes))
	for id, node := range nodes {
		number, _ := node.(json.Number)
		// An unreadable revision becomes zero: the record then counts as unchanged since any base revision.
		revisions[id], _ = number.Int64()
	}
	return revisions
}

// storedFile is the file name in findings about stored records.
const storedFile = "stored"
