package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var sizes = []int{6, 63, 195, 390}

// clientsStart is when clients begin, as in the deployments.
const clientsStart = 14 * time.Second

// typicalLimits are those of 16 workspaces, of which a few are large and grow with the deployment. Usual demand is 490
// requests per second at 63 instances and 2,900 at 390.
func typicalLimits(instances int) []Limit {
	scale := max(float64(instances)/63, 1)
	limits := make([]Limit, 16)
	for i := range limits {
		rate := 18000.0
		switch {
		case i < 2:
			rate = 800000 * scale
		case i < 5:
			rate = 200000 * scale
		}
		limits[i] = Limit{Rate: rate, Burst: rate}
	}
	return limits
}

// usualDemand returns a demand of the usual part of each limit.
func usualDemand(limits []Limit) func(int) float64 {
	return func(w int) float64 { return limits[w].Rate / 1.8 }
}

func forSizes(t *testing.T, test func(t *testing.T, instances int)) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			test(t, n)
		})
	}
}

// Guards against rejecting requests within the quota, although each instance sees few requests of each workspace, and
// against rejecting them because no coordinator has answered when the system starts.
func TestUsualDemandIsNotRejected(t *testing.T) {
	forSizes(t, func(t *testing.T, instances int) {
		limits := typicalLimits(instances)
		s := newSimulation(t, instances, limits, 1)
		s.rate = usualDemand(limits)
		s.runUntil(clientsStart)
		s.reset()
		s.startClients()
		s.runUntil(clientsStart + 30*time.Second)
		s.checkBound()
		s.checkRejected(0.002)
		total, held := 0, time.Duration(0)
		for w := range s.stats {
			total += s.stats[w].offered
			held += s.stats[w].held
		}
		t.Logf("mean wait %v, messages per instance and second each way %.1f, bytes per instance and second %.0f", held/time.Duration(total),
			float64(s.messages)/30/float64(instances)/2, float64(s.bytes)/30/float64(instances))
	})
}

// checkRejected fails if more than a share of the requests was rejected, of all workspaces together or of any one, beyond
// those that a single token bucket would reject. Clients send at random, so that a small workspace exceeds its quota at
// times.
func (s *simulation) checkRejected(allowed float64) {
	s.t.Helper()
	offered, excess := 0, 0
	for w := range s.stats {
		s.checkRejectedOf(w, allowed)
		offered += s.stats[w].offered
		excess += s.stats[w].rejected - s.stats[w].idealRejected
	}
	if float64(excess) > allowed*float64(offered) {
		s.t.Errorf("%d requests of %d rejected beyond those of single token buckets", excess, offered)
	}
}

// checkRejectedOf is checkRejected for one workspace. A few requests near the limit are decided differently by chance.
func (s *simulation) checkRejectedOf(w int, allowed float64) {
	s.t.Helper()
	st := &s.stats[w]
	if excess := float64(st.rejected - st.idealRejected); excess > max(allowed*float64(st.offered), 3) {
		s.t.Errorf("%s: %d of %d requests rejected, %d by a single token bucket", s.names[w], st.rejected, st.offered, st.idealRejected)
	}
}

// admittedRate returns the cost per second admitted for a workspace since the last reset.
func (s *simulation) admittedRate(w int, since time.Duration) float64 {
	return s.stats[w].admittedCost / (s.now - since).Seconds()
}

// running returns a simulation with usual demand, in which clients have been served for some seconds.
func running(t testing.TB, instances int, seed uint64) (*simulation, []Limit) {
	// More demand would only make the simulation slower.
	limits := typicalLimits(min(instances, 63))
	s := newSimulation(t, instances, limits, seed)
	s.rate = usualDemand(limits)
	s.runUntil(clientsStart)
	s.startClients()
	s.runUntil(clientsStart + 5*time.Second)
	s.reset()
	return s, limits
}

// Guards against a hot workspace that gets more than its limit or much less, and against the others paying for it.
func TestHotWorkspaceGetsItsLimit(t *testing.T) {
	forSizes(t, func(t *testing.T, instances int) {
		for _, factor := range []float64{3.5, 7.5} {
			s, limits := running(t, instances, 2)
			usual := usualDemand(limits)
			// A small and a middle one: the large ones would be most of all requests.
			hot := map[int]bool{2: true, 9: true}
			s.rate = func(w int) float64 {
				if hot[w] {
					return usual(w) * factor
				}
				return usual(w)
			}
			s.runUntil(s.now + 2*time.Second)
			since := s.now
			s.reset()
			s.runUntil(s.now + 20*time.Second)
			s.checkBound()
			for w := range s.stats {
				st := &s.stats[w]
				if hot[w] {
					got := s.admittedRate(w, since) / limits[w].Rate
					t.Logf("factor %v, %s: %.3f of the limit; returning clients: %d of %d admitted", factor, s.names[w], got, st.returnedAdmitted, st.returned)
					if got < 0.95 {
						t.Errorf("factor %v, %s: gets %.3f of its limit", factor, s.names[w], got)
					}
				} else {
					s.checkRejectedOf(w, 0.005)
				}
			}
		}
	})
}

// Guards against credit that stays where the demand was.
func TestDemandMovesBetweenInstances(t *testing.T) {
	forSizes(t, func(t *testing.T, instances int) {
		s, _ := running(t, instances, 3)
		few := instances / 3
		s.share = func(n *node, _ int) float64 {
			for _, x := range s.nodes[:few] {
				if x == n {
					return 1 / float64(few)
				}
			}
			return 0
		}
		s.runUntil(s.now + time.Second)
		s.reset()
		s.runUntil(s.now + 10*time.Second)
		s.checkBound()
		s.checkRejected(0.005)
	})
}

// first returns the instance that is the coordinator of most.
func (s *simulation) first() *node {
	votes := make(map[string]int)
	best := ""
	for _, n := range s.nodes {
		if n.up {
			c := n.account.Coordinator()
			votes[c]++
			if votes[c] > votes[best] {
				best = c
			}
		}
	}
	return s.byName[best]
}

// Guards against losing credit for long when the coordinator dies, against granting a burst twice, and against instances
// that do not agree on a coordinator after it has come back.
func TestCoordinatorDies(t *testing.T) {
	forSizes(t, func(t *testing.T, instances int) {
		s, limits := running(t, instances, 4)
		s.rate = func(w int) float64 { return usualDemand(limits)(w) * 3 }
		dead := s.first()
		s.stop(dead)
		s.runUntil(s.now + 4*time.Second)
		s.checkBound()
		since := s.now
		sent := slices.Clone(s.stats)
		s.reset()
		s.runUntil(s.now + 10*time.Second)
		for w := range s.stats {
			s.stats[w].sent = append(sent[w].sent, s.stats[w].sent...)
		}
		s.checkBound()
		for w := range limits {
			if got := s.admittedRate(w, since) / limits[w].Rate; got < 0.95*float64(instances-1)/float64(instances) {
				t.Errorf("%s gets %.3f of its limit from 4 s after the coordinator's death", s.names[w], got)
			}
		}
		s.start(dead)
		s.runUntil(s.now + 15*time.Second)
		s.checkBound()
		for _, n := range s.nodes {
			if n.account.Coordinator() != dead.name {
				t.Fatalf("%s asks %q after the coordinator has come back, not %q", n.name, n.account.Coordinator(), dead.name)
			}
		}
		since = s.now
		s.reset()
		s.runUntil(s.now + 10*time.Second)
		for w := range limits {
			if got := s.admittedRate(w, since) / limits[w].Rate; got < 0.95 {
				t.Errorf("%s gets %.3f of its limit after the coordinator has come back", s.names[w], got)
			}
		}
	})
}

// Guards against using the portion of an instance twice that dies, is frozen or comes back, and against rejecting usual
// demand meanwhile.
func TestInstancesDieFreezeAndComeBack(t *testing.T) {
	forSizes(t, func(t *testing.T, instances int) {
		s, _ := running(t, instances, 5)
		coordinator := s.first()
		var others []*node
		for _, n := range s.nodes {
			if n != coordinator {
				others = append(others, n)
			}
		}
		// The portion of an instance that is away is away, too.
		s.idealShare = 1 - 1/float64(instances)
		s.stop(others[0])
		others[1].frozenUntil = s.now + 3*time.Second
		s.runUntil(s.now + 4*time.Second)
		s.start(others[0])
		s.runUntil(s.now + 15*time.Second)
		s.checkBound()
		s.checkRejected(0.005)
		// The coordinator is frozen for longer than a loan lasts.
		coordinator.frozenUntil = s.now + 6*time.Second
		s.runUntil(s.now + 20*time.Second)
		s.checkBound()
		s.idealShare = 1
		s.reset()
		s.runUntil(s.now + 10*time.Second)
		s.checkRejected(0.005)
	})
}

// Guards against rejecting all requests for the settling time of new instances when the whole system restarts, although the
// instances are registered and count each other at once.
func TestWholeSystemRestarts(t *testing.T) {
	forSizes(t, func(t *testing.T, instances int) {
		s, _ := running(t, instances, 9)
		for _, n := range s.nodes {
			s.stop(n)
		}
		s.runUntil(s.now + time.Second)
		s.startAll(s.nodes)
		s.runUntil(s.now + 4*time.Second)
		s.reset()
		s.runUntil(s.now + 5*time.Second)
		s.checkBound()
		// At most a quarter may still be rejected that soon after a restart.
		s.checkRejected(0.25)
		// Buckets begin empty, and renewals take longer with more instances.
		s.runUntil(s.now + 3*time.Second)
		s.reset()
		s.runUntil(s.now + 15*time.Second)
		s.checkBound()
		s.checkRejected(0.005)
	})
}

// Guards against two regions that cannot reach each other admitting more than the quota together, and against either of
// them admitting nothing.
func TestRegionCutOff(t *testing.T) {
	forSizes(t, func(t *testing.T, instances int) {
		s, limits := running(t, instances, 6)
		s.rate = func(w int) float64 { return usualDemand(limits)(w) * 4 }
		connected := s.delay
		s.delay = func(from, to *node) (time.Duration, bool) {
			d, ok := connected(from, to)
			return d, ok && from.region == to.region
		}
		s.runUntil(s.now + 8*time.Second)
		s.checkBound()
		sent := slices.Clone(s.stats)
		s.reset()
		since := s.now
		s.runUntil(s.now + 20*time.Second)
		for w := range limits {
			if got := s.admittedRate(w, since) / limits[w].Rate; got < 0.9 {
				t.Errorf("%s gets %.3f of its limit in both regions together", s.names[w], got)
			}
			s.stats[w].sent = append(sent[w].sent, s.stats[w].sent...)
		}
		s.checkBound()
		s.delay = connected
		s.runUntil(s.now + 35*time.Second)
		s.checkBound()
		since = s.now
		s.reset()
		s.runUntil(s.now + 15*time.Second)
		for w := range limits {
			if got := s.admittedRate(w, since) / limits[w].Rate; got < 0.95 {
				t.Errorf("%s gets %.3f of its limit after the regions are connected again", s.names[w], got)
			}
		}
	})
}

// Guards against a lowered limit that is exceeded later than a window after all instances have it, and against a raised
// one that has no effect.
func TestLimitLoweredAndRaised(t *testing.T) {
	forSizes(t, func(t *testing.T, instances int) {
		s, limits := running(t, instances, 7)
		lowered := append([]Limit(nil), limits...)
		for _, w := range []int{2, 9} {
			lowered[w] = Limit{Rate: limits[w].Rate / 6, Burst: limits[w].Burst / 6}
		}
		s.setLimits(2, lowered)
		// The instances get the configuration within 4 s, each at another time.
		for _, n := range s.nodes {
			s.onNode(n, s.now+time.Duration(s.random.Float64()*4*float64(time.Second)), func() {
				n.account.Configure(s.limits)
				n.pool.Configure(s.limits, s.clock(n))
			})
		}
		s.runUntil(s.now + 4*time.Second)
		s.reset()
		since := s.now
		s.runUntil(s.now + 20*time.Second)
		s.checkBound()
		for _, w := range []int{2, 9} {
			if got := s.admittedRate(w, since) / lowered[w].Rate; got < 0.9 {
				t.Errorf("%s gets %.3f of its lowered limit", s.names[w], got)
			}
		}
		s.setLimits(3, limits)
		s.configureAll()
		s.runUntil(s.now + time.Second)
		s.reset()
		s.runUntil(s.now + 10*time.Second)
		s.checkBound()
		s.checkRejected(0.01)
	})
}

// Guards against a coordinator that answers too late for its credits to be of use, and is asked on and on by the others or
// by itself.
func TestSlowCoordinatorIsReplaced(t *testing.T) {
	s, _ := running(t, 63, 8)
	s.slowCoordinator = s.first()
	// The slow instance asks itself until it notices that nobody lends to it. The buckets of the new coordinator begin
	// empty and fill in 2 s at usual demand.
	s.runUntil(s.now + 9*time.Second)
	s.reset()
	s.runUntil(s.now + 10*time.Second)
	s.checkBound()
	s.checkRejected(0.005)
	for _, n := range s.nodes {
		if n.account.Coordinator() == s.slowCoordinator.name {
			t.Errorf("%s asks the slow instance", n.name)
		}
	}
}

// Guards against a workspace whose burst is smaller than a request, or zero: no request would ever fit.
func TestSmallBurst(t *testing.T) {
	for _, burst := range []float64{0, 1000} {
		limits := []Limit{{Rate: 18000, Burst: burst}}
		s := newSimulation(t, 63, limits, 9)
		s.rate = func(int) float64 { return 60000 }
		s.runUntil(clientsStart)
		s.startClients()
		s.runUntil(s.now + 2*time.Second)
		since := s.now
		s.reset()
		s.runUntil(s.now + 20*time.Second)
		s.checkBound()
		// Without a burst, what is not used while no request waits is lost.
		if got := s.admittedRate(0, since) / 18000; got < 0.7 {
			t.Errorf("burst %v: gets %.3f of its limit", burst, got)
		}
	}
}

// Guards against an exhausted quota that covers small requests only.
func TestLargeRequestsAreCoveredLikeSmallOnes(t *testing.T) {
	s := newSimulation(t, 63, []Limit{{Rate: 18000, Burst: 18000}}, 10)
	s.rate = func(int) float64 { return 70000 }
	s.returns = false
	offered, admitted := map[bool]int{}, map[bool]int{}
	s.cost = func() float64 {
		cost := 1500.0
		if s.random.IntN(2) == 0 {
			cost = 4000
		}
		offered[cost > 2000]++
		return cost
	}
	s.runUntil(clientsStart)
	s.startClients()
	s.runUntil(s.now + 60*time.Second)
	for _, c := range s.stats[0].sent {
		admitted[c.cost > 2000]++
	}
	large, small := float64(admitted[true])/float64(offered[true]), float64(admitted[false])/float64(offered[false])
	if large < 0.7*small {
		t.Errorf("%.3f of the large requests and %.3f of the small ones are admitted", large, small)
	}
}
