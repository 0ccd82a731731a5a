package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Measures one choice among 140 engines with stated loads, all of which hold the model, and the samples that one message
// brings from another instance.
func BenchmarkStatedLoads(b *testing.B) {
	r := NewRegistry()
	var loads []LoadSample
	var slow []SlownessSamples
	for i := range 140 {
		id := fmt.Sprintf("e%d", i)
		announce(r, id, HeldModel{Name: "m"})
		stateLoad(r, id, 10, 130, false, now)
		if i < 8 {
			loads = append(loads, LoadSample{Endpoint: EndpointKeyOf(id), Calls: 10, WorkPercent: 130, Latency: 15 * time.Millisecond})
			slow = append(slow, SlownessSamples{Endpoint: EndpointKeyOf(id), Count: 1, LogSum: 0.1})
		}
	}
	b.Run("choice", func(b *testing.B) {
		for i := range b.N {
			d := demandFor("m")
			d.Random, d.TargetLatency = rand.Float64, time.Minute
			_, call := r.Reserve(d, noDistance, now.Add(time.Duration(i)*time.Microsecond))
			call.End(Succeeded, now)
		}
	})
	b.Run("message", func(b *testing.B) {
		for i := range b.N {
			at := now.Add(time.Duration(i) * time.Microsecond)
			r.AddRemoteLoads(loads, at)
			r.AddRemoteSlowness(slow, at)
		}
	})
}
