package scheduling_test

import (
	"fmt"
	"runtime"
	"testing"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

func heap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkPrefixMemory measures what the prefix index keeps for each block, with one holder each.
func BenchmarkPrefixMemory(b *testing.B) {
	for _, blocks := range []int{25_000, 50_000, scheduling.DefaultPrefixBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				index := scheduling.NewPrefixIndex(blocks)
				for i := range blocks {
					index.Sent(&scheduling.Request{Model: "m", PrefixHashes: []uint64{uint64(i)}}, fmt.Sprint("e", i%400))
				}
				b.ReportMetric((heap()-before)/float64(blocks), "retainedB/block")
				runtime.KeepAlive(index)
			}
		})
	}
}

// BenchmarkDecisionMemory measures what a routing decision keeps, against its candidates.
func BenchmarkDecisionMemory(b *testing.B) {
	const records = 1000
	for _, candidates := range []int{3, 16, 64, 5500} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			states := fleet(candidates)
			p := pipeline(nil)
			for b.Loop() {
				before := heap()
				recorder := decisions.NewRecorder(zap.NewNop(), records)
				for i := range records {
					decision, _, _ := p.Schedule(&scheduling.Request{Model: "m", InputTokens: 500, OutputTokens: 100}, states)
					recorder.Add(decisions.Record{Kind: decisions.Routing, ID: fmt.Sprint("request-", i), Chosen: decision.Chosen, Detail: decision})
				}
				b.ReportMetric((heap()-before)/records, "retainedB/record")
				runtime.KeepAlive(recorder)
			}
		})
	}
}
