package exchange

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Guards against packing and unpacking changing work or attributing it to another endpoint.
func TestPackedWorkRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		work := make(map[string]fleet.Work)
		value := rapid.IntRange(0, 200_000)
		for i := range rapid.IntRange(0, 200).Draw(rt, "endpoints") {
			work[fmt.Sprintf("i-%08x", i*0x9e3779b1)] = fleet.Work{
				Waiting: value.Draw(rt, "waiting"), PrefillTokens: value.Draw(rt, "prefill"),
				UrgentTokens: value.Draw(rt, "urgent"), Running: value.Draw(rt, "running"), PrefillRate: value.Draw(rt, "rate"),
			}
		}
		got, err := UnpackWork(PackWork(work))
		if err != nil || len(got) != len(work) {
			rt.Fatalf("%d of %d endpoints: %v", len(got), len(work), err)
		}
		for id, want := range work {
			if w, found := got[fleet.EndpointKeyOf(id)]; !found || w != want {
				rt.Fatalf("%s has %+v, not %+v", id, w, want)
			}
		}
	})
}

// Guards against a regular message without work being mistaken for an early one, which leaves the previous work
// unchanged.
func TestEmptyWorkIsPackedAsNonNil(t *testing.T) {
	if PackWork(nil) == nil {
		t.Fatal("empty work is packed as nil")
	}
}

// Guards against truncated or arbitrary bytes stopping the exchange or being decoded as negative work.
func FuzzUnpackWork(f *testing.F) {
	packed := PackWork(map[string]fleet.Work{"i-1": {Waiting: 3, PrefillTokens: 4000}})
	for n := range packed {
		f.Add(packed[:n])
	}
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		work, err := UnpackWork(data)
		if err != nil {
			return
		}
		for _, w := range work {
			if w.Waiting < 0 || w.PrefillTokens < 0 || w.UrgentTokens < 0 || w.Running < 0 || w.PrefillRate < 0 {
				t.Fatalf("negative work %+v", w)
			}
		}
	})
}

// BenchmarkRegularMessage measures packing and encoding of a regular message, and reports the size of the datagram.
func BenchmarkRegularMessage(b *testing.B) {
	for _, endpoints := range []int{10, 40, 160} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			work := make(map[string]fleet.Work)
			for i := range endpoints {
				work[fmt.Sprintf("i-%010x", i)] = fleet.Work{Waiting: 2, PrefillTokens: 3800, UrgentTokens: 1900, Running: 9, PrefillRate: 11_000}
			}
			size := 0
			for b.Loop() {
				data, err := Encode(&Message{Instance: "edge-lisboa-a-1", Started: 1_780_000_000_000, Sequence: 1000, Work: PackWork(work)})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
