package claims_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
)

// step is one random event of the property test.
type step struct {
	kind, instance, key, fate, amount int
}

// fates of a call that was granted.
const (
	completes = iota
	crashesBeforeDispatch
	crashesAfterDispatch
	releases
	dispatchesLate
	fates
)

// run counts what was dispatched.
type run struct {
	mu         sync.Mutex
	dispatched map[string]int
	replayed   map[string][]string
}

func (r *run) dispatch(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatched[key]++
	return fmt.Sprint(key, " run ", r.dispatched[key])
}

// call is one caller: it claims, and when granted meets its fate.
func (r *run) call(w *world, s step, key string) {
	instance := instances[s.instance]
	grant, response, _ := w.claim(instance, key, "a", time.Duration(1+s.amount)*20*time.Millisecond)
	if response != nil {
		r.mu.Lock()
		r.replayed[key] = append(r.replayed[key], string(response.Body))
		r.mu.Unlock()
	}
	if grant == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	switch s.fate {
	case releases:
		_ = grant.Release(ctx)
		return
	case crashesBeforeDispatch:
		return
	case dispatchesLate:
		time.Sleep(time.Duration(s.amount) * time.Minute)
	}
	text := r.dispatch(key)
	if s.fate != crashesAfterDispatch {
		time.Sleep(time.Duration(s.amount) * 5 * time.Millisecond)
		_ = grant.Complete(ctx, answer(text))
	}
}

// disturb injects one fault.
func disturb(w *world, s step) {
	faults := w.store.Faults
	calls := []kv.Call{kv.CallCommit, kv.CallCommit, kv.CallCommit, kv.CallGrant}
	call := calls[s.amount%len(calls)]
	switch s.kind {
	case 0:
		faults.Next(call, kv.Fault{DropReply: true})
	case 1:
		faults.Next(kv.CallCommit, kv.Fault{Hold: true})
	case 2:
		faults.Next(call, kv.Fault{Refuse: true})
	case 3:
		faults.Next(call, kv.Fault{Delay: time.Duration(s.amount) * 200 * time.Millisecond, DropReply: s.fate == 0})
	case 4:
		faults.SetDown(s.fate < 2)
	case 5:
		w.store.ApplyHeld()
	case 6:
		w.start(instances[s.instance])
	case 7:
		w.net.inject(peerFault(s.amount % 4))
	case 8:
		w.net.deliverLate()
	case 9:
		time.Sleep(time.Duration(s.amount) * 3 * time.Hour)
	}
}

// faultKinds is the number of cases of disturb; higher kinds are calls.
const faultKinds = 10

// TestAtMostOneDispatch is requirement R5: for any interleaving of callers, instances, lost, late and repeated
// messages, crashes, pauses, outages and expiry, each key is dispatched at most once, and a replayed response is that
// of the dispatch.
func TestAtMostOneDispatch(t *testing.T) {
	draw := rapid.Custom(func(rt *rapid.T) step {
		return step{
			kind:     rapid.IntRange(0, 3*faultKinds).Draw(rt, "kind"),
			instance: rapid.IntRange(0, 1).Draw(rt, "instance"),
			key:      rapid.IntRange(0, 3).Draw(rt, "key"),
			fate:     rapid.IntRange(0, fates-1).Draw(rt, "fate"),
			amount:   rapid.IntRange(0, 15).Draw(rt, "amount"),
		}
	})
	dispatched, replayed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(draw, 5, 60).Draw(rt, "steps")
		var r *run
		synctest.Test(t, func(t *testing.T) { r = interleave(NewWithT(t), steps) })
		for key, n := range r.dispatched {
			dispatched++
			if n > 1 {
				rt.Fatalf("key %q was dispatched %d times", key, n)
			}
		}
		for key, responses := range r.replayed {
			for _, response := range responses {
				replayed++
				if response != key+" run 1" {
					rt.Fatalf("key %q replayed %q", key, response)
				}
			}
		}
	})
	// Without dispatches and replays the checks above would prove nothing.
	if dispatched < 50 || replayed < 20 {
		t.Fatalf("only %d dispatches and %d replays", dispatched, replayed)
	}
}

func interleave(g Gomega, steps []step) *run {
	w := newWorld()
	r := &run{dispatched: make(map[string]int), replayed: make(map[string][]string)}
	keys := []string{"order-1", "order-2", w.key(g, "issued"), w.key(g, "issued")}
	var callers conc.WaitGroup
	for _, s := range steps {
		if s.kind < faultKinds {
			disturb(w, s)
		} else {
			callers.Go(func() { r.call(w, s, keys[s.key]) })
		}
		time.Sleep(time.Duration(s.amount%4) * 3 * time.Millisecond)
		synctest.Wait()
	}
	w.store.Faults.SetDown(false)
	callers.Wait()
	w.store.ApplyHeld()
	// After everything is repaired the keys are tried once more at both instances.
	for _, key := range keys {
		for i := range instances {
			r.call(w, step{instance: i, amount: 1}, key)
		}
	}
	w.close()
	return r
}
