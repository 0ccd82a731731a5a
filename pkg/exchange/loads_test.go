package exchange

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Guards against loads that are lost or changed on the way, and against messages that grow beyond nine bytes per endpoint:
// each instance sends one to every other one, within a budget of 22 KB/s.
func TestPackedLoadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var samples []fleet.LoadSample
		for endpoint := range rapid.IntRange(0, 8).Draw(rt, "endpoints") {
			samples = append(samples, fleet.LoadSample{
				Endpoint: fleet.EndpointKey(endpoint), Age: time.Duration(rapid.IntRange(0, 100).Draw(rt, "age")) * loadAgeUnit,
				Calls: rapid.IntRange(0, 63).Draw(rt, "calls"), WorkPercent: rapid.IntRange(1, 120).Draw(rt, "percent") * loadPercentUnit,
				Rejected: rapid.Bool().Draw(rt, "rejected"),
				Latency:  time.Duration(rapid.IntRange(0, 400).Draw(rt, "latency")) * time.Millisecond,
			})
		}
		packed := PackLoads(samples)
		got, err := UnpackLoads(packed)
		if err != nil || len(got) != len(samples) || len(packed) > 9*len(samples) {
			rt.Fatalf("%d of %d endpoints in %d bytes: %v", len(got), len(samples), len(packed), err)
		}
		for i := range got {
			difference := math.Abs(float64(got[i].Latency - samples[i].Latency))
			latencySame := difference <= 0.05*float64(samples[i].Latency)
			got[i].Latency = samples[i].Latency
			if got[i] != samples[i] || !latencySame {
				rt.Fatalf("got %+v, sent %+v, latencies differ by %v", got[i], samples[i], time.Duration(difference))
			}
		}
	})
}

// Guards against a malformed datagram that takes a process down, or gives a load of the future or of no work at all.
func FuzzUnpackLoads(f *testing.F) {
	packed := PackLoads([]fleet.LoadSample{{Endpoint: 1, Age: time.Second, Calls: 3, WorkPercent: 130}, {Endpoint: 9, WorkPercent: 100}})
	f.Add(packed)
	f.Add(packed[:len(packed)-1])
	f.Add([]byte("\x00\x00\x00\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01\x01\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		samples, err := UnpackLoads(data)
		for _, s := range samples {
			if err == nil && (s.Age < 0 || s.Age > maxLoadAge || s.Calls < 0 || s.WorkPercent <= 0) {
				t.Fatalf("sample %+v", s)
			}
		}
	})
}
