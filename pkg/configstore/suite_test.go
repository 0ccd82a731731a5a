package configstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

func TestConfigStore(t *testing.T) {
	testkit.RunSpecs(t, "configstore")
}

var ctx = context.Background()

const (
	deployment = `{"kind":"Deployment","name":"d","schemaVersion":1,"attainmentWeight":1,"moveWeight":1,"placementShards":1,
		"modelLoadsPerSecond":1,"concurrentModelLoads":9,"concurrentAdapterLoads":70,"regionLinkBitsPerSecond":30000000,
		"queueRequests":10,"queueBytes":1000,"retryBudgetRatio":0.1}`
	service = `{"kind":"Service","name":"lm","schemaVersion":1,"type":"engine","maxBodyBytes":1000}`
)

func member(name string, share int) string {
	return fmt.Sprintf(`{"kind":"Member","name":%q,"schemaVersion":1,"share":%d,"keys":[]}`, name, share)
}

func dataCentre(name, region string) string {
	return fmt.Sprintf(`{"kind":"DataCentre","name":%q,"schemaVersion":1,"region":%q}`, name, region)
}

func model(name, memberName string) string {
	return fmt.Sprintf(`{"kind":"Model","name":%q,"schemaVersion":1,"service":"lm","members":[%q],"version":"1","weightBytes":80,
		"kvReserveBytes":40,"acceleratorsPerCopy":2,"minCopies":1,"maxCopies":2,"defaultTimeoutMs":10,"maxTimeoutMs":20,
		"maxInputTokens":5,"maxOutputTokens":5}`, name, memberName)
}

func change(id string, records ...string) configstore.Change {
	c := configstore.Change{ID: id}
	for i, text := range records {
		parsed, found := config.ParseFile(fmt.Sprintf("%s-%d.json", id, i), []byte(text))
		ExpectWithOffset(1, found.Err()).NotTo(HaveOccurred())
		c.Records = append(c.Records, parsed...)
	}
	return c
}

func newRepository(store configstore.ReadWriteStore) *configstore.Repository {
	return configstore.New(store, options)
}

var options = configstore.Options{
	Prefix:  "p/",
	Now:     func() time.Time { return time.UnixMilli(1_800_000_000_000) },
	Backoff: func(int) time.Duration { return 0 },
}

// storedRecords returns the fields of all records by "Kind/name".
func storedRecords(repository *configstore.Repository) map[string]map[string]any {
	contents, err := repository.Read(ctx, nil)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	all := make(map[string]map[string]any)
	for _, r := range contents.Records() {
		all[r.RecordID.String()] = r.Fields
	}
	return all
}

// newSeededStore returns a store that contains a deployment, a member "m" and a service.
func newSeededStore() (*kv.Memory, *configstore.Repository) {
	store := kv.NewMemory()
	repository := newRepository(store)
	_, err := repository.Apply(ctx, change("seed", deployment, member("m", 1), service))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return store, repository
}

// pruneToSeed returns a change that restores the records of newSeededStore and deletes all others.
func pruneToSeed(id string) configstore.Change {
	c := change(id, deployment, member("m", 1), service)
	c.Prune = true
	return c
}

// memberBundleDigest returns the digest of the only bundle of members.
func memberBundleDigest(repository *configstore.Repository) string {
	contents, err := repository.Read(ctx, nil)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	for _, ref := range contents.Head.Bundles {
		if ref.Kind == config.KindMember {
			return ref.Digest
		}
	}
	return ""
}

// commitFault is a store that calls onCommit in place of the commit with the index failingCommit.
type commitFault struct {
	*kv.Memory
	failingCommit int
	commits       int
	onCommit      func(writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error)
}

func (f *commitFault) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	f.commits++
	if f.commits-1 == f.failingCommit {
		return f.onCommit(writes)
	}
	return f.Memory.Commit(ctx, writes)
}
