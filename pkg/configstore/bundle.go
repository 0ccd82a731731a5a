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
	// Bundles hold between minMeanBytes and maxMeanBytes on average. A change transfers the head and the bundles that it
	// touches: smaller bundles make the head longer, larger ones make the bundles longer. The distance between the two
	// limits keeps a configuration at a limit from being regrouped with each change.
	minMeanBytes = 8 << 10
	maxMeanBytes = 48 << 10
	// maxBundleBytes is below the store's value limit, with room for its encoding in a request.
	maxBundleBytes = 700 << 10
	// maxBuckets bounds the search for a number of buckets.
	maxBuckets = 1 << 16
)

// Bundle is an immutable group of records.
type Bundle struct {
	Digest  string
	Content []byte
}

// Digest returns the name under which a bundle is stored: hexadecimal SHA-256 of its content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// encodedRecord is a record in the form in which it is compared and stored.
type encodedRecord struct {
	id   config.RecordID
	text []byte
	// revision is the configuration revision that last changed the record; zero stands for the one being prepared.
	revision int64
}

// group distributes the records over bundles. previous has the numbers of buckets in use.
func group(records []encodedRecord, previous map[config.Kind]int) ([]BundleRef, map[string][]byte, map[config.Kind]int) {
	byKind := make(map[config.Kind][]encodedRecord)
	for _, r := range records {
		byKind[r.id.Kind] = append(byKind[r.id.Kind], r)
	}
	var refs []BundleRef
	contents := make(map[string][]byte)
	buckets := make(map[config.Kind]int, len(byKind))
	for kind, ofKind := range byKind {
		sort.Slice(ofKind, func(i, j int) bool { return ofKind[i].id.Name < ofKind[j].id.Name })
		split, count := distribute(ofKind, max(previous[kind], 1))
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

// distribute splits records of one kind into buckets, beginning with the number in use.
func distribute(records []encodedRecord, count int) (map[int][]byte, int) {
	total := 0
	for _, r := range records {
		total += len(r.text)
	}
	for count > 1 && total/count < minMeanBytes {
		count /= 2
	}
	for count < maxBuckets && total/count > maxMeanBytes {
		count *= 2
	}
	for {
		split := splitInto(records, count)
		if count >= maxBuckets || longest(split) <= maxBundleBytes {
			return split, count
		}
		count *= 2
	}
}

func splitInto(records []encodedRecord, count int) map[int][]byte {
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

func longest(split map[int][]byte) int {
	most := 0
	for _, content := range split {
		most = max(most, len(content))
	}
	return most
}

// revisionsField has the revisions of a bundle's records by kind and name.
const revisionsField = "revisions"

// encodeBundle writes the form of a declaration file, one record per line, with the revisions of the records.
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

// parsedBundle is a bundle's records, and the mistakes found while they were read.
type parsedBundle struct {
	records []config.RawRecord
	found   findings.List
}

// parseBundle checks a bundle against its digest. Records are located by kind and name instead of their position, so
// that a finding keeps its location when other records come and go. Only a bundle that is unreadable as a whole is an
// error, so that a mistake in one record, which another writer may have stored, does not hold back the others.
func parseBundle(digest string, content []byte) (parsedBundle, error) {
	if actual := Digest(content); actual != digest {
		return parsedBundle{}, errors.Wrapf(ErrFormat, "bundle %s has digest %s", digest, actual)
	}
	doc, err := strictjson.Parse(content)
	if err != nil {
		return parsedBundle{}, errors.Wrapf(ErrFormat, "bundle %s: %v", digest, err)
	}
	revisions := takeRevisions(doc)
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

// takeRevisions removes the revisions from a bundle and leaves the form of a declaration file.
func takeRevisions(doc strictjson.Document) map[string]int64 {
	root, _ := doc.Root.(map[string]any)
	nodes, _ := root[revisionsField].(map[string]any)
	delete(root, revisionsField)
	revisions := make(map[string]int64, len(nodes))
	for id, node := range nodes {
		number, _ := node.(json.Number)
		// A revision that cannot be read is zero: the record then counts as changed long ago.
		revisions[id], _ = number.Int64()
	}
	return revisions
}

// storedFile is the file name in findings about stored records.
const storedFile = "stored"
