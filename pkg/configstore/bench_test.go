package configstore_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
)

// BenchmarkConfigurationUpdate measures what an instance does for a change of one record: it parses the changed bundle
// and builds the snapshot. The sizes show how the cost grows with the number of records. retainedB/record is the heap
// memory that the configuration in effect occupies, and gzipB the compressed size of the update.
func BenchmarkConfigurationUpdate(b *testing.B) {
	for _, records := range []int{1800, 3600, 7200} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) { benchmarkConfigurationUpdate(b, records) })
	}
}

func benchmarkConfigurationUpdate(b *testing.B, count int) {
	store := kv.NewMemory()
	repository := newRepository(store)
	texts := []string{deployment, member("m", 1), service, dataCentre("a", "r")}
	for i := range count {
		if i%4 == 0 {
			texts = append(texts, model(fmt.Sprint("model-", i), "m"))
			continue
		}
		texts = append(texts, fmt.Sprintf(`{"kind":"Endpoint","name":"endpoint-%d","schemaVersion":1,"service":"lm",
			"dataCentre":"a","url":"http://10.%d.%d.1:80","maxConcurrentRequests":32,
			"accelerators":[{"memoryBytes":85899345920},{"memoryBytes":85899345920}],"checksFencing":true}`, i, i/250, i%250))
	}
	apply := func(id string, texts ...string) {
		c := configstore.Change{ID: id}
		for _, text := range texts {
			parsed, _ := config.ParseFile("f.json", []byte(text))
			c.Records = append(c.Records, parsed...)
		}
		if _, err := repository.Apply(ctx, c); err != nil {
			b.Fatal(err)
		}
	}
	apply("all", texts...)
	before, err := repository.Read(ctx, nil)
	if err != nil {
		b.Fatal(err)
	}
	apply("one", model("model-0", "m")[:len(model("model-0", "m"))-1]+`,"priority":3}`)
	b.ReportAllocs()
	for b.Loop() {
		after, err := repository.Read(ctx, before)
		if err != nil {
			b.Fatal(err)
		}
		if s, found := config.BuildSnapshot(after.Head.Revision, time.Time{}, after.Records(), nil); s == nil || found.Len() > 0 {
			b.Fatal(found.Err())
		}
	}
	b.ReportMetric(retainedBytes(repository)/float64(count), "retainedB/record")
	after, err := repository.Read(ctx, before)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(compressedBytes(b, store, before.Missing(after.Head))), "gzipB")
}

// BenchmarkChangeCalls counts the store calls of one change, for several numbers of changed records out of 4,000: the
// calls of the writer and those of one relay that reads the change.
func BenchmarkChangeCalls(b *testing.B) {
	for _, changed := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("changed=%d", changed), func(b *testing.B) {
			store := kv.NewMemory()
			repository := newRepository(store)
			texts := []string{deployment, member("m", 1), service, dataCentre("a", "r")}
			for i := range 4000 {
				texts = append(texts, model(fmt.Sprint("model-", i), "m"))
			}
			apply := func(id string, texts []string) {
				c := configstore.Change{ID: id}
				for _, text := range texts {
					parsed, _ := config.ParseFile("f.json", []byte(text))
					c.Records = append(c.Records, parsed...)
				}
				if _, err := repository.Apply(ctx, c); err != nil {
					b.Fatal(err)
				}
			}
			apply("all", texts)
			latest, err := repository.Read(ctx, nil)
			if err != nil {
				b.Fatal(err)
			}
			start := countCalls(store)
			var writerCalls, relayCalls callCounts
			for n := 0; b.Loop(); n++ {
				var change []string
				for i := range changed {
					text := model(fmt.Sprint("model-", i), "m")
					change = append(change, fmt.Sprintf(`%s,"priority":%d}`, text[:len(text)-1], n%9+1))
				}
				apply(fmt.Sprint("change-", n), change)
				applied := countCalls(store)
				writerCalls = writerCalls.plus(applied.minus(start))
				if latest, err = repository.Read(ctx, latest); err != nil {
					b.Fatal(err)
				}
				start = countCalls(store)
				relayCalls = relayCalls.plus(start.minus(applied))
			}
			b.ReportMetric(writerCalls.reads/float64(b.N), "writer-reads/op")
			b.ReportMetric(writerCalls.writes/float64(b.N), "writer-writes/op")
			b.ReportMetric(relayCalls.reads/float64(b.N), "relay-reads/op")
		})
	}
}

// callCounts counts calls to the store.
type callCounts struct{ reads, writes float64 }

func countCalls(store *kv.Memory) callCounts {
	return callCounts{
		reads:  float64(store.Faults.Count(kv.CallGet) + store.Faults.Count(kv.CallRange)),
		writes: float64(store.Faults.Count(kv.CallCommit)),
	}
}

func (c callCounts) plus(o callCounts) callCounts {
	return callCounts{c.reads + o.reads, c.writes + o.writes}
}
func (c callCounts) minus(o callCounts) callCounts {
	return callCounts{c.reads - o.reads, c.writes - o.writes}
}

// compressedBytes returns the compressed size of the head and the bundles, as a peer receives them.
func compressedBytes(b *testing.B, store *kv.Memory, digests []string) int {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	keys := []string{"p/config/head"}
	for _, digest := range digests {
		keys = append(keys, "p/config/bundles/"+digest)
	}
	for _, key := range keys {
		value, found, _, err := store.Get(ctx, key)
		if err != nil || !found {
			b.Fatal(key, err)
		}
		_, _ = writer.Write(value.Value)
	}
	_ = writer.Close()
	return compressed.Len()
}

// retainedBytes returns the heap memory that the contents and the snapshot occupy.
func retainedBytes(repository *configstore.Repository) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	contents, _ := repository.Read(ctx, nil)
	snapshot, _ := config.BuildSnapshot(1, time.Time{}, contents.Records(), nil)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(contents)
	runtime.KeepAlive(snapshot)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
