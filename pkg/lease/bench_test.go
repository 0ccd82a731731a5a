package lease_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/lease"
)

// BenchmarkLeaseCalls counts the store calls per time to live of one key, by the number of instances that compete for
// it.
func BenchmarkLeaseCalls(b *testing.B) {
	const (
		benchTTL = 200 * time.Millisecond
		ttlCount = 20
	)
	for _, candidates := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			for b.Loop() {
				store := kv.NewMemory()
				ctx, cancel := context.WithTimeout(context.Background(), ttlCount*benchTTL)
				var group conc.WaitGroup
				for i := range candidates {
					h := lease.New(lease.Options{Store: store, Key: "holder", Identity: fmt.Sprint(i), TTL: benchTTL})
					group.Go(func() { _ = h.Run(ctx) })
				}
				group.Wait()
				cancel()
				reads := store.Faults.Count(kv.CallGet) + store.Faults.Count(kv.CallRange)
				writes := store.Faults.Count(kv.CallCommit) + store.Faults.Count(kv.CallGrant) + store.Faults.Count(kv.CallKeepAlive)
				b.ReportMetric(float64(reads)/ttlCount, "reads/ttl")
				b.ReportMetric(float64(writes)/ttlCount, "writes/ttl")
				b.ReportMetric(float64(store.Faults.Count(kv.CallWatch))/ttlCount, "watches/ttl")
			}
		})
	}
}
