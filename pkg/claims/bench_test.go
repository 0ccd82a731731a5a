package claims_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

const (
	// benchLatency and benchWritesPerSecond are those of the simulated store, which replies within milliseconds and
	// accepts several hundred writes per second.
	benchLatency         = 2 * time.Millisecond
	benchWritesPerSecond = 500
	// benchDuration is the time during which calls arrive. benchDeadline is the deadline of each call.
	benchDuration = 2 * time.Second
	benchDeadline = 500 * time.Millisecond
)

// loadResult holds the measurements of one open-loop run.
type loadResult struct {
	offered, granted, commits int
	latencies                 []time.Duration
}

func (l loadResult) percentile(p float64) time.Duration {
	if len(l.latencies) == 0 {
		return 0
	}
	slices.Sort(l.latencies)
	return l.latencies[int(p*float64(len(l.latencies)-1))]
}

// runOpenLoop starts calls at a fixed rate, whether or not earlier ones have ended.
func runOpenLoop(store *kv.Memory, rate int, claim func(ctx context.Context, i int) bool) loadResult {
	var l loadResult
	var mu sync.Mutex
	var wg conc.WaitGroup
	start := time.Now()
	for time.Since(start) < benchDuration {
		due := int(time.Since(start).Seconds() * float64(rate))
		for l.offered < due {
			i := l.offered
			l.offered++
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), benchDeadline)
				defer cancel()
				sentAt := time.Now()
				granted := claim(ctx, i)
				mu.Lock()
				defer mu.Unlock()
				if granted {
					l.granted++
					l.latencies = append(l.latencies, time.Since(sentAt))
				}
			})
		}
		time.Sleep(100 * time.Microsecond)
	}
	wg.Wait()
	l.commits = store.Faults.Count(kv.CallCommit)
	return l
}

func benchStore() *kv.Memory {
	store := kv.NewMemory()
	store.Faults.SetLatency(benchLatency)
	store.Faults.SetRates(0, benchWritesPerSecond)
	return store
}

// runGrouped measures claims through a StoreClaimer, which combines them into batches.
func runGrouped(rate int) loadResult {
	store := benchStore()
	claimer := claims.NewStoreClaimer(claims.StoreOptions{Store: store, Instance: "x", Incarnation: "i"})
	defer claimer.Close()
	return runOpenLoop(store, rate, func(ctx context.Context, i int) bool {
		request := claims.Request{Member: "farm", Key: fmt.Sprint(i), Hash: sha256.Sum256(nil)}
		grant, _, _ := claimer.Claim(ctx, request)
		return grant != nil
	})
}

// runSingle measures one Commit call per claim, with no limit on the number in flight.
func runSingle(rate int) loadResult {
	store := benchStore()
	id, _, err := store.Grant(context.Background(), claims.ClaimWindow)
	if err != nil {
		panic(err)
	}
	value := make([]byte, 250)
	return runOpenLoop(store, rate, func(ctx context.Context, i int) bool {
		key := fmt.Sprint("claims/farm/", i)
		write := kvstore.ConditionalWrite{
			Conditions: []kvstore.Condition{{Key: key, Field: kvstore.CreateRevision}},
			Puts:       []kvstore.Put{{Key: key, Value: value, Lease: id}},
		}
		_, err := store.Commit(ctx, []kvstore.ConditionalWrite{write})
		return err == nil
	})
}

// BenchmarkGroupCommit compares group commit with one commit per claim on a store with 500 writes per second and a
// latency of 2 ms. It reports the number of granted claims as a ratio to that without group commit, the commits per
// granted claim, the fraction of calls granted and the latencies.
func BenchmarkGroupCommit(b *testing.B) {
	for _, rate := range []int{20, 200, 1000, 5000} {
		b.Run(fmt.Sprint("arrivals=", rate), func(b *testing.B) {
			var grouped, single loadResult
			for b.Loop() {
				grouped = runGrouped(rate)
				single = runSingle(rate)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(grouped.granted)/float64(single.granted), "granted-ratio")
			b.ReportMetric(float64(grouped.commits)/float64(grouped.granted), "commits/claim")
			b.ReportMetric(float64(single.commits)/float64(single.granted), "single-commits/claim")
			b.ReportMetric(float64(grouped.granted)/float64(grouped.offered), "granted/offered")
			b.ReportMetric(float64(single.granted)/float64(single.offered), "single-granted/offered")
			b.ReportMetric(float64(grouped.percentile(0.5))/float64(time.Millisecond), "p50-ms")
			b.ReportMetric(float64(single.percentile(0.5))/float64(time.Millisecond), "single-p50-ms")
			b.ReportMetric(float64(grouped.percentile(0.99))/float64(time.Millisecond), "p99-ms")
			b.ReportMetric(float64(single.percentile(0.99))/float64(time.Millisecond), "single-p99-ms")
		})
	}
}
