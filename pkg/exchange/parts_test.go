package exchange

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

func TestPackedPartsRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var parts []fleet.SentPart
		for endpoint := range rapid.IntRange(0, 20).Draw(rt, "endpoints") {
			for part := range rapid.IntRange(1, 200).Draw(rt, "parts") {
				parts = append(parts, fleet.SentPart{Endpoint: fleet.EndpointKey(endpoint * 0x9e3779b1), Part: fleet.PartKey(part)})
			}
		}
		got, err := UnpackParts(PackParts(parts))
		if err != nil || !reflect.DeepEqual(got, parts) {
			rt.Fatalf("%d of %d parts: %v", len(got), len(parts), err)
		}
	})
}

// BenchmarkPartsAndSlowness measures packing and encoding of what regular messages carry for the choice of endpoints, and
// reports the size: two shared parts and one measurement for each endpoint.
func BenchmarkPartsAndSlowness(b *testing.B) {
	for _, endpoints := range []int{10, 40, 160} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			var parts []fleet.SentPart
			var samples []fleet.SlownessSamples
			for e := range fleet.EndpointKey(endpoints) {
				key := e * 0x9e3779b1
				parts = append(parts, fleet.SentPart{Endpoint: key, Part: 1}, fleet.SentPart{Endpoint: key, Part: 2})
				samples = append(samples, fleet.SlownessSamples{Endpoint: key, Count: 1, LogSum: -0.6})
			}
			size := 0
			for b.Loop() {
				data, err := Encode(&Message{Parts: PackParts(parts), Slowness: PackSlowness(samples)})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			empty, err := Encode(&Message{})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(size-len(empty)), "bytes")
		})
	}
}

// Guards against a malformed datagram that takes a process down or its memory.
func FuzzUnpackParts(f *testing.F) {
	packed := PackParts([]fleet.SentPart{{Endpoint: 1, Part: 2}, {Endpoint: 1, Part: 3}, {Endpoint: 4, Part: 2}})
	f.Add(packed)
	f.Add(packed[:len(packed)-1])
	f.Add([]byte("\x00\x00\x00\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parts, err := UnpackParts(data)
		if err == nil && len(parts)*partKeyBytes > len(data) {
			t.Fatalf("%d parts in %d bytes", len(parts), len(data))
		}
	})
}
