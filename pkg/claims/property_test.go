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

// step is a random event of the property test: a fault or a call. The amount sets its delay, or selects among its
// variants.
type step struct {
	kind, instance, key, callOutcome, amount int
}

// The values of step.callOutcome: what happens to a call after it was granted.
const (
	callCompletes = iota
	callerCrashesBeforeDispatch
	callerCrashesAfterDispatch
	callerReleases
	callerDispatchesLate
	callOutcomes
)

// dispatchLog counts the dispatches of each key and records the replayed responses.
type dispatchLog struct {
	mu         sync.Mutex
	dispatched map[string]int
	replayed   map[string][]string
}

func (r *dispatchLog) dispatch(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatched[key]++
	return fmt.Sprint(key, " run ", r.dispatched[key])
}

// runCall claims the key. If granted, it continues according to the step's callOutcome.
func (r *dispatchLog) runCall(env *testEnv, s step, key string) {
	instance := instances[s.instance]
	grant, response, _ := env.claim(instance, key, "a", time.Duration(1+s.amount)*20*time.Millisecond)
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
	switch s.callOutcome {
	case callerReleases:
		_ = grant.Release(ctx)
		return
	case callerCrashesBeforeDispatch:
		return
	case callerDispatchesLate:
		time.Sleep(time.Duration(s.amount) * time.Minute)
	}
	body := r.dispatch(key)
	if s.callOutcome != callerCrashesAfterDispatch {
		time.Sleep(time.Duration(s.amount) * 5 * time.Millisecond)
		_ = grant.Complete(ctx, newResponse(body))
	}
}

// injectFault injects the fault of the step.
func injectFault(env *testEnv, s step) {
	faults := env.store.Faults
	calls := []kv.Call{kv.CallCommit, kv.CallCommit, kv.CallCommit, kv.CallGrant}
	call := calls[s.amount%len(calls)]
	switch s.kind {
	case 0:
		faults.Queue(call, kv.Fault{DropReply: true})
	case 1:
		faults.Queue(kv.CallCommit, kv.Fault{Hold: true})
	case 2:
		faults.Queue(call, kv.Fault{Refuse: true})
	case 3:
		faults.Queue(call, kv.Fault{Delay: time.Duration(s.amount) * 200 * time.Millisecond, DropReply: s.callOutcome == 0})
	case 4:
		faults.SetDown(s.callOutcome < 2)
	case 5:
		env.store.ApplyHeld()
	case 6:
		env.startInstance(instances[s.instance])
	case 7:
		env.peers.queueFault(peerFault(s.amount % 4))
	case 8:
		env.peers.deliverDuplicates()
	case 9:
		time.Sleep(time.Duration(s.amount) * 3 * time.Hour)
	}
}

// faultKinds is the number of cases in injectFault. Steps of a higher kind are calls.
const faultKinds = 10

// TestAtMostOneDispatch checks requirement R5. Each key is dispatched at most once, and a replayed response is that of
// the dispatch, for any interleaving of callers, instances, lost, late and repeated messages, crashes, pauses, outages
// and expiry.
func TestAtMostOneDispatch(t *testing.T) {
	draw := rapid.Custom(func(rt *rapid.T) step {
		return step{
			kind:        rapid.IntRange(0, 3*faultKinds).Draw(rt, "kind"),
			instance:    rapid.IntRange(0, 1).Draw(rt, "instance"),
			key:         rapid.IntRange(0, 3).Draw(rt, "key"),
			callOutcome: rapid.IntRange(0, callOutcomes-1).Draw(rt, "fate"),
			amount:      rapid.IntRange(0, 15).Draw(rt, "amount"),
		}
	})
	dispatched, replayed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(draw, 5, 60).Draw(rt, "steps")
		var r *dispatchLog
		synctest.Test(t, func(t *testing.T) { r = runSteps(NewWithT(t), steps) })
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
	// The checks above prove nothing unless there are dispatches and replays.
	if dispatched < 50 || replayed < 20 {
		t.Fatalf("only %d dispatches and %d replays", dispatched, replayed)
	}
}

func runSteps(g Gomega, steps []step) *dispatchLog {
	env := newTestEnv()
	r := &dispatchLog{dispatched: make(map[string]int), replayed: make(map[string][]string)}
	keys := []string{"order-1", "order-2", env.key(g, "issued"), env.key(g, "issued")}
	var callers conc.WaitGroup
	for _, s := range steps {
		if s.kind < faultKinds {
			injectFault(env, s)
		} else {
			callers.Go(func() { r.runCall(env, s, keys[s.key]) })
		}
		time.Sleep(time.Duration(s.amount%4) * 3 * time.Millisecond)
		synctest.Wait()
	}
	env.store.Faults.SetDown(false)
	callers.Wait()
	env.store.ApplyHeld()
	// After all faults are repaired, each key is called once more at both instances.
	for _, key := range keys {
		for i := range instances {
			r.runCall(env, step{instance: i, amount: 1}, key)
		}
	}
	env.close()
	return r
}
