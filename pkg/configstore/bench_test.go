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

// BenchmarkTakeOver measures what an instance does for a change of one record: it parses the changed bundle and builds
// the snapshot. Run it for the slope over the number of records. retainedB/record is the memory that the configuration
// in effect keeps.
func BenchmarkTakeOver(b *testing.B) {
	for _, records := range []int{1800, 3600, 7200} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) { benchmarkTakeOver(b, records) })
	}
}

func benchmarkTakeOver(b *testing.B, count int) {
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
	b.ReportMetric(retained(repository)/float64(count), "retainedB/record")
	after, err := repository.Read(ctx, before)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(fetched(b, store, before.Missing(after.Head))), "gzipB")
}

// BenchmarkChangeCalls counts the calls of the store for one change, at the writer and at
// one relay that reads it, against the changed records of 4,000.
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
			known, err := repository.Read(ctx, nil)
			if err != nil {
				b.Fatal(err)
			}
			start := callsOf(store)
			var written, read calls
			for n := 0; b.Loop(); n++ {
				var change []string
				for i := range changed {
					text := model(fmt.Sprint("model-", i), "m")
					change = append(change, fmt.Sprintf(`%s,"priority":%d}`, text[:len(text)-1], n%9+1))
				}
				apply(fmt.Sprint("change-", n), change)
				applied := callsOf(store)
				written = written.plus(applied.minus(start))
				if known, err = repository.Read(ctx, known); err != nil {
					b.Fatal(err)
				}
				start = callsOf(store)
				read = read.plus(start.minus(applied))
			}
			b.ReportMetric(written.reads/float64(b.N), "writer-reads/op")
			b.ReportMetric(written.writes/float64(b.N), "writer-writes/op")
			b.ReportMetric(read.reads/float64(b.N), "relay-reads/op")
		})
	}
}

// calls are numbers of calls of the store.
type calls struct{ reads, writes float64 }

func callsOf(store *kv.Memory) calls {
	return calls{
		reads:  float64(store.Faults.Count(kv.CallGet) + store.Faults.Count(kv.CallRange)),
		writes: float64(store.Faults.Count(kv.CallCommit)),
	}
}

func (c calls) plus(o calls) calls  { return calls{c.reads + o.reads, c.writes + o.writes} }
func (c calls) minus(o calls) calls { return calls{c.reads - o.reads, c.writes - o.writes} }

// fetched returns the size of the head and of the bundles as a peer receives them, compressed.
func fetched(b *testing.B, store *kv.Memory, digests []string) int {
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

// retained returns the bytes of heap that contents and snapshot keep.
func retained(repository *configstore.Repository) float64 {
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
