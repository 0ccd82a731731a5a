package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against admitting more than the quota in any window when messages are lost, repeated, late or reordered, and
// instances are frozen, cut off or restarted in any sequence. Clients demand far more than the quota at every instance at
// all times, so that whatever could be used is used.
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 7).Draw(t, "instances")
		limits := []Limit{
			{Rate: 18000, Burst: rapid.SampledFrom([]float64{0, 3000, 36000, 200000}).Draw(t, "burst")},
			{Rate: 300000, Burst: 600000},
		}
		s := newSimulation(t, instances, limits, rapid.Uint64().Draw(t, "seed"))
		s.rate = func(w int) float64 { return limits[w].Rate * 1.2 }
		// An instance of a small number of instances sees all kinds of excess by itself.
		s.share = func(*node, int) float64 { return 1 }
		s.cost = func() float64 { return 1500 + s.random.Float64()*2500 }
		if rapid.Bool().Draw(t, "largeCosts") {
			s.cost = func() float64 { return 3000 }
		}
		s.checksShares = true
		s.duplicates = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicates")
		loss := rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss")
		late := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "late")
		cut := make(map[[2]*node]bool)
		connected := s.delay
		s.delay = func(from, to *node) (time.Duration, bool) {
			d, _ := connected(from, to)
			if s.random.Float64() < late {
				d += time.Duration(s.random.Float64() * float64(5*time.Second))
			}
			return d, s.random.Float64() >= loss && !cut[[2]*node{from, to}]
		}
		s.runUntil(9 * time.Second)
		s.startClients()
		s.runUntil(time.Duration(rapid.IntRange(9, 16).Draw(t, "firstFaultS")) * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			n := s.nodes[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			other := s.nodes[rapid.IntRange(0, instances-1).Draw(t, "other")]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				n.frozenUntil = s.now + time.Duration(rapid.IntRange(100, 8000).Draw(t, "freezeMs"))*time.Millisecond
			case 1:
				s.stop(n)
			case 2:
				if n.up {
					s.stop(n)
				}
				s.start(n)
			case 3:
				cut[[2]*node{n, other}] = true
			case 4:
				cut[[2]*node{n, other}], cut[[2]*node{other, n}] = true, true
			case 5:
				clear(cut)
			}
			s.runUntil(s.now + time.Duration(rapid.IntRange(10, 4000).Draw(t, "pauseMs"))*time.Millisecond)
		}
		s.runUntil(s.now + 12*time.Second)
		s.checkBound()
		// The mechanism's own bound, of which the rule's margins are not needed: the lifetime of charges, the rounding of
		// loans and one debt.
		for w, limit := range limits {
			own := limit.Rate*(sendTime+100*time.Millisecond).Seconds() + maxDebt
			if excess := largestExcess(s.stats[w].sent, limit, ruleWindow); excess > own {
				t.Errorf("%s exceeds its quota by %.0f, the mechanism allows %.0f", s.names[w], excess, own)
			}
		}
	})
}
