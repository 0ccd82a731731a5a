package exchange

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

func TestPackedSlownessRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var samples []fleet.SlownessSamples
		for endpoint := range rapid.IntRange(0, 50).Draw(rt, "endpoints") {
			count := rapid.IntRange(1, maxPackedSamples).Draw(rt, "count")
			mean := rapid.Float64Range(-2, 2).Draw(rt, "mean")
			samples = append(samples, fleet.SlownessSamples{Endpoint: fleet.EndpointKey(endpoint), Count: count, LogSum: mean * float64(count)})
		}
		got, err := UnpackSlowness(PackSlowness(samples))
		if err != nil || len(got) != len(samples) {
			rt.Fatalf("%d of %d endpoints: %v", len(got), len(samples), err)
		}
		for i := range got {
			same := got[i].Endpoint == samples[i].Endpoint && got[i].Count == samples[i].Count
			if !same || math.Abs(got[i].LogSum-samples[i].LogSum) > 1.0/slownessScale {
				rt.Fatalf("got %+v, sent %+v", got[i], samples[i])
			}
		}
	})
}

// Guards against dropping all measurements of a message because those of an endpoint which has stalled are at the bound.
func TestPackedSlownessAtTheBound(t *testing.T) {
	for count := 1; count <= 64; count++ {
		for _, value := range []float64{fleet.MaxLogSlowness, -fleet.MaxLogSlowness} {
			packed := PackSlowness([]fleet.SlownessSamples{{Endpoint: 1, Count: count, LogSum: value * float64(count)}})
			if got, err := UnpackSlowness(packed); err != nil || len(got) != 1 {
				t.Errorf("%d samples of %.3f: %v", count, value, err)
			}
		}
	}
}

// Guards against a malformed datagram that takes a process down, or makes an engine look infinitely fast or slow.
func FuzzUnpackSlowness(f *testing.F) {
	packed := PackSlowness([]fleet.SlownessSamples{{Endpoint: 1, Count: 3, LogSum: -1.5}, {Endpoint: 9, Count: 1, LogSum: 0.7}})
	f.Add(packed)
	f.Add(packed[:len(packed)-1])
	f.Add([]byte("\x00\x00\x00\x01\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		samples, err := UnpackSlowness(data)
		for _, s := range samples {
			if err == nil && !(math.Abs(s.LogSum) <= float64(s.Count)*fleet.MaxLogSlowness) {
				t.Fatalf("samples %+v", s)
			}
		}
	})
}
