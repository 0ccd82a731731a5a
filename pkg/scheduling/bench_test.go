package scheduling_test

import (
	"fmt"
	"runtime"
	"testing"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkPrefixMemory measures the memory that the prefix index retains per block, with one holder each.
func BenchmarkPrefixMemory(b *testing.B) {
	for _, blocks := range []int{25_000, 50_000, scheduling.DefaultPrefixBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				index := scheduling.NewPrefixIndex(blocks)
				for i := range blocks {
					index.RecordSent(&scheduling.Request{Model: "m", PrefixHashes: []uint64{uint64(i)}}, fmt.Sprint("e", i%400))
				}
				b.ReportMetric((heapBytes()-before)/float64(blocks), "retainedB/block")
				runtime.KeepAlive(index)
			}
		})
	}
}

// BenchmarkDecisionMemory measures the memory that a routing decision retains, by number of candidates.
func BenchmarkDecisionMemory(b *testing.B) {
	const records = 1000
	for _, candidates := range []int{3, 16, 64, 5500} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			states := endpointStates(candidates)
			p := pipeline(nil)
			for b.Loop() {
				before := heapBytes()
				recorder := decisions.NewRecorder(zap.NewNop(), records)
				for i := range records {
					decision, _, _ := p.Schedule(&scheduling.Request{Model: "m", InputTokens: 500, OutputTokens: 100}, states)
					recorder.Add(decisions.Record{Kind: decisions.Routing, ID: fmt.Sprint("request-", i), Chosen: decision.Chosen, Detail: decision})
				}
				b.ReportMetric((heapBytes()-before)/records, "retainedB/record")
				runtime.KeepAlive(recorder)
			}
		})
	}
}
