package peer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against deltas that miss a change when a message or an acknowledgement is lost. After any losses the next
// received message must bring the receiver to the sender's state.
func TestReceiverHasSenderStateAfterLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		sender := newDeltaEncoder("a", 7)
		sender.tolerance = &dataCentreTolerance
		receiver := newLoadReceiver(func() time.Time { return now })
		acknowledged := acknowledgement{}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		polledAt := map[uint64]time.Time{0: now, 1: now, 2: now}
		for step := range steps {
			now = now.Add(time.Second)
			state := newLoad()
			for key := range uint64(4) {
				if n := rapid.Uint32Range(0, 3).Draw(t, "in flight"); n > 0 {
					state.Endpoints[key] = n
				}
			}
			for key := range uint64(3) {
				if rapid.Bool().Draw(t, "polled") {
					polledAt[key] = now
				}
				if !rapid.Bool().Draw(t, "reported") {
					continue
				}
				state.Reports[key] = EndpointReport{
					Load: ReportLoad{
						Running: rapid.Uint32Range(0, 40).Draw(t, "running"),
						Leaving: rapid.Bool().Draw(t, "leaving"),
						Failed:  rapid.Bool().Draw(t, "failed"),
					},
					Inventory: &Inventory{Incarnation: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation")},
					PolledAt:  polledAt[key],
				}
			}
			sender.update(state)
			if step < steps-1 && rapid.Bool().Draw(t, "message lost") {
				continue
			}
			got, applied := receiver.apply("peer", sender.message(acknowledged, now))
			if !applied {
				t.Fatalf("step %d: message was not applied", step)
			}
			if fmt.Sprint(got.Endpoints) != fmt.Sprint(state.Endpoints) {
				t.Fatalf("step %d: receiver has %v, sender has %v", step, got.Endpoints, state.Endpoints)
			}
			compareReports(t, got.Reports, state.Reports)
			if !rapid.Bool().Draw(t, "acknowledgement lost") {
				acknowledged = receiver.sources["a"].acknowledged
			}
		}
	})
}

// compareReports checks that the receiver's reports equal those of the sender within the tolerance and do not have a
// later poll time. A failed report keeps the age with which it was sent.
func compareReports(t *rapid.T, got, want map[uint64]EndpointReport) {
	if len(got) != len(want) {
		t.Fatalf("receiver has %d reports, sender has %d", len(got), len(want))
	}
	for hash, w := range want {
		g := got[hash]
		if !dataCentreTolerance.allows(g.Load, w.Load) {
			t.Fatalf("receiver has %+v, sender has %+v", g.Load, w.Load)
		}
		if !g.Inventory.equal(w.Inventory) {
			t.Fatalf("receiver has %+v, sender has %+v", g.Inventory, w.Inventory)
		}
		if g.PolledAt.After(w.PolledAt) && !w.Load.Failed {
			t.Fatalf("receiver has a report of %v as one of %v", w.PolledAt, g.PolledAt)
		}
	}
}

// Guards against a false burst of demand, which would move models, when a source sends again after a silence.
func TestArrivalsDuringSilenceAreNoBurst(t *testing.T) {
	now := time.Unix(100, 0)
	receiver := newLoadReceiver(func() time.Time { return now })
	sender := newDeltaEncoder(DemandSourcePrefix+"a", 1)
	requests := func(total uint64) uint64 {
		state := newLoad()
		state.Models["m"] = ModelDemand{Requests: total}
		sender.update(state)
		got, _ := receiver.apply("a", sender.message(acknowledgement{}, now))
		return got.Models["m"].Requests
	}
	requests(10)
	if got := requests(30); got != 20 {
		t.Fatalf("arrivals are %d, want 20", got)
	}
	now = now.Add(livenessTimeout + time.Second)
	receiver.expire()
	if got := requests(5000); got != 20 {
		t.Fatalf("arrivals after the silence are %d, want 20", got)
	}
	if got := requests(5010); got != 30 {
		t.Fatalf("arrivals are %d, want 30", got)
	}
}

// Guards against counters that decrease or count a member's service twice when the source restarts or another instance
// takes over sending it.
func TestCountersNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		receiver := newLoadReceiver(func() time.Time { return time.Unix(0, 0) })
		var total, last float64
		// Whole numbers, since messages round service down.
		value := float64(rapid.IntRange(0, 1000).Draw(t, "value before the first message"))
		epoch := uint64(1)
		sender := newDeltaEncoder("a", epoch)
		first := true
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				epoch++
				sender = newDeltaEncoder("a", epoch)
				value = 0
				first = true
			}
			increase := float64(rapid.IntRange(0, 10).Draw(t, "service"))
			value += increase
			if !first {
				total += increase
			}
			first = false
			state := newLoad()
			state.Members["m"] = MemberUsage{Service: value}
			sender.update(state)
			got, _ := receiver.apply("peer", sender.message(acknowledgement{}, time.Unix(0, 0)))
			service := got.Members["m"].Service
			if service < last-1e-6 {
				t.Fatalf("service decreased from %v to %v", last, service)
			}
			if service > total+1e-6 || service < total-1e-6 {
				t.Fatalf("service is %v, want %v", service, total)
			}
			last = service
		}
	})
}

// Guards against mixing two senders of one source, which number their messages separately.
func TestSourceHasOneSenderUntilItIsSilent(t *testing.T) {
	now := time.Unix(100, 0)
	receiver := newLoadReceiver(func() time.Time { return now })
	state := newLoad()
	state.Endpoints[1] = 5
	first := newDeltaEncoder("dc:x", 1)
	first.update(state)
	second := newDeltaEncoder("dc:x", 2)
	state.Endpoints[1] = 9
	second.update(state)
	if _, ok := receiver.apply("p1", first.message(acknowledgement{}, time.Unix(0, 0))); !ok {
		t.Fatal("first sender was rejected")
	}
	if _, ok := receiver.apply("p2", second.message(acknowledgement{}, time.Unix(0, 0))); ok {
		t.Fatal("second sender was accepted while the first is live")
	}
	now = now.Add(livenessTimeout + time.Second)
	if got, ok := receiver.apply("p2", second.message(acknowledgement{}, time.Unix(0, 0))); !ok || got.Endpoints[1] != 9 {
		t.Fatalf("second sender was rejected after silence of the first: %v %v", got, ok)
	}
}

// Guards against counters that restart at zero after a long silence: a receiver keeps the highest value and would
// ignore the source until its counters exceed that value.
func TestCountersContinueAfterLongSilence(t *testing.T) {
	now := time.Unix(100, 0)
	receiver := newLoadReceiver(func() time.Time { return now })
	sender := newDeltaEncoder("a", 1)
	report := func(service float64) float64 {
		state := newLoad()
		state.Members["m"] = MemberUsage{Service: service}
		sender.update(state)
		got, ok := receiver.apply("peer", sender.message(acknowledgement{}, now))
		if !ok {
			t.Fatal("message was not applied")
		}
		return got.Members["m"].Service
	}
	report(10)
	before := report(110)
	now = now.Add(2 * removalTimeout)
	receiver.expire()
	if after := report(130); after != before+20 {
		t.Fatalf("service is %v after the silence, want %v", after, before+20)
	}
}

// Guards against memory that grows with every replaced instance, and against a sum of the data centre that loses the
// counters of removed instances.
func TestSilentSourcesAreBounded(t *testing.T) {
	now := time.Unix(100, 0)
	receiver := newLoadReceiver(func() time.Time { return now })
	for n := range 2 * maxSources {
		sender := newDeltaEncoder(fmt.Sprintf("instance-%d", n), 1)
		for _, service := range []float64{0, 5} {
			state := newLoad()
			state.Members["m"] = MemberUsage{Service: service}
			sender.update(state)
			receiver.apply("peer", sender.message(acknowledgement{}, now))
		}
		now = now.Add(time.Second)
	}
	now = now.Add(2 * removalTimeout)
	receiver.expire()
	if len(receiver.sources) > maxSources {
		t.Fatalf("%d sources are kept, want at most %d", len(receiver.sources), maxSources)
	}
	if got, want := receiver.sum(newLoad()).Members["m"].Service, float64(2*maxSources*5); got != want {
		t.Fatalf("sum of the data centre is %v, want %v", got, want)
	}
}
