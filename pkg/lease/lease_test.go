package lease_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	// Fixes the seed of the property tests.
	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/lease"
)

const ttl = 10 * time.Second

// startHolder runs a holder and returns it with a function that stops it.
func startHolder(store lease.Store, identity string) (*lease.Holder, func()) {
	h := lease.New(lease.Options{Store: store, Key: "holder", Identity: identity, TTL: ttl})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = h.Run(ctx) })
	return h, func() {
		cancel()
		wg.Wait()
	}
}

func guardedWrite(token lease.Token) []kvstore.ConditionalWrite {
	return []kvstore.ConditionalWrite{{
		Conditions: []kvstore.Condition{token.Condition()},
		Puts:       []kvstore.Put{{Key: "data", Value: fmt.Append(nil, token.Revision)}},
	}}
}

func writeApplies(g Gomega, store kvstore.Writer, token lease.Token) bool {
	results, err := store.Commit(context.Background(), guardedWrite(token))
	g.Expect(err).NotTo(HaveOccurred())
	return results[0].Applied
}

func runInBubble(t *testing.T, test func(g *WithT, store *kv.Memory)) {
	synctest.Test(t, func(t *testing.T) { test(NewWithT(t), kv.NewMemory()) })
}

// Guards against a holder that loses its lease although the store replies, and against a lease that is kept after
// shutdown.
func TestHoldsWhileRenewedAndReleases(t *testing.T) {
	runInBubble(t, func(g *WithT, store *kv.Memory) {
		h, stop := startHolder(store, "a")
		synctest.Wait()
		first, held := h.Held()
		g.Expect(held).To(BeTrue())
		for range 100 {
			time.Sleep(time.Second)
			token, held := h.Held()
			g.Expect(held).To(BeTrue())
			g.Expect(token).To(Equal(first))
		}
		g.Expect(writeApplies(g, store, first)).To(BeTrue())
		stop()
		_, held = h.Held()
		g.Expect(held).To(BeFalse())
		g.Expect(writeApplies(g, store, first)).To(BeFalse())
		_, found, _, err := store.Get(context.Background(), "holder")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found).To(BeFalse())
	})
}

// Guards against a paused or disconnected holder that reports its lease as held while another instance holds it.
func TestHoldingEndsBeforeTakeover(t *testing.T) {
	for name, fault := range map[string]kv.Fault{
		"renewals refused":      {Refuse: true},
		"renewals get no reply": {Delay: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(g *WithT, store *kv.Memory) {
				a, stopA := startHolder(store, "a")
				defer stopA()
				synctest.Wait()
				previous, held := a.Held()
				g.Expect(held).To(BeTrue())
				for range 40 {
					store.Faults.Queue(kv.CallKeepAlive, fault)
				}
				b, stopB := startHolder(store, "b")
				defer stopB()
				for {
					_, heldByA := a.Held()
					_, heldByB := b.Held()
					g.Expect(heldByA && heldByB).To(BeFalse())
					if heldByB {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				g.Expect(writeApplies(g, store, previous)).To(BeFalse())
				token, _ := b.Held()
				g.Expect(writeApplies(g, store, token)).To(BeTrue())
			})
		})
	}
}

// Guards against a deadline that starts at the reply: the store counts from the receipt of the call, which may be
// earlier.
func TestDeadlineCountsFromBeforeTheCall(t *testing.T) {
	runInBubble(t, func(g *WithT, store *kv.Memory) {
		store.Faults.Queue(kv.CallGrant, kv.Fault{Delay: 6 * time.Second})
		for range 40 {
			store.Faults.Queue(kv.CallKeepAlive, kv.Fault{Refuse: true})
		}
		h, stop := startHolder(store, "a")
		defer stop()
		time.Sleep(6*time.Second + time.Millisecond)
		_, held := h.Held()
		g.Expect(held).To(BeTrue())
		time.Sleep(2*time.Second - time.Millisecond)
		_, held = h.Held()
		g.Expect(held).To(BeFalse())
	})
}

// Guards against guessing the outcome after a lost reply: the key is read back, and the lease is held only with proof.
func TestLostReplies(t *testing.T) {
	cases := map[string]struct {
		prepare func(*kv.Memory)
		// heldAtOnce reports whether the first attempt succeeds.
		heldAtOnce bool
	}{
		"create applied, reply lost":           {func(s *kv.Memory) { s.Faults.Queue(kv.CallCommit, kv.Fault{DropReply: true}) }, true},
		"create not yet applied, reply lost":   {func(s *kv.Memory) { s.Faults.Queue(kv.CallCommit, kv.Fault{Hold: true}) }, false},
		"grant applied, reply lost":            {func(s *kv.Memory) { s.Faults.Queue(kv.CallGrant, kv.Fault{DropReply: true}) }, false},
		"create and reading back both unknown": {failReadBack, false},
		"create lost, another instance wins":   {loseRace, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(g *WithT, store *kv.Memory) {
				c.prepare(store)
				h, stop := startHolder(store, "a")
				defer stop()
				synctest.Wait()
				_, held := h.Held()
				g.Expect(held).To(Equal(c.heldAtOnce))
				store.ApplyHeld()
				time.Sleep(2 * ttl)
				token, held := h.Held()
				g.Expect(held).To(BeTrue())
				g.Expect(writeApplies(g, store, token)).To(BeTrue())
			})
		})
	}
}

// failReadBack loses the reply to the create and refuses the second Get, which reads the key back.
func failReadBack(s *kv.Memory) {
	s.Faults.Queue(kv.CallCommit, kv.Fault{DropReply: true})
	s.Faults.Queue(kv.CallGet, kv.Fault{})
	s.Faults.Queue(kv.CallGet, kv.Fault{Refuse: true})
}

// loseRace makes another instance create the key before the reply to the create is lost.
func loseRace(s *kv.Memory) {
	s.Faults.Queue(kv.CallCommit, kv.Fault{Hold: true, Hook: func() {
		id, _, _ := s.Grant(context.Background(), ttl)
		_, _ = s.Commit(context.Background(), []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: "holder", Lease: id}}}})
	}})
}

// Guards against an instance that is not eligible but still sends calls to the store.
func TestNotEligibleMakesNoCalls(t *testing.T) {
	runInBubble(t, func(g *WithT, store *kv.Memory) {
		h := lease.New(lease.Options{Store: store, Key: "holder", TTL: ttl, Eligible: func() bool { return false }})
		ctx, cancel := context.WithTimeout(context.Background(), 10*ttl)
		defer cancel()
		g.Expect(h.Run(ctx)).To(Succeed())
		g.Expect(store.Faults.Count(kv.CallGet)).To(BeZero())
	})
}

// Guards against two instances holding the lease at once, whatever the store does, and against a write that applies
// although the token that guards it is no longer the current one at the store.
func TestAtMostOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 10, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			store := kv.NewMemory()
			var holders []*lease.Holder
			for _, identity := range []string{"a", "b", "c"} {
				h, stop := startHolder(store, identity)
				defer stop()
				holders = append(holders, h)
			}
			defer store.Faults.SetDown(false)
			var tokens []lease.Token
			for i, step := range steps {
				injectFault(store, step)
				time.Sleep(time.Duration(1+i%5) * 700 * time.Millisecond)
				tokens = checkTokens(g, store, holders, tokens)
			}
		})
	})
}

func injectFault(store *kv.Memory, step int) {
	calls := []kv.Call{kv.CallCommit, kv.CallGrant, kv.CallKeepAlive, kv.CallRevoke}
	switch {
	case step < 4:
		store.Faults.Queue(calls[step], kv.Fault{DropReply: true})
	case step < 6:
		store.Faults.Queue(kv.CallKeepAlive, kv.Fault{Delay: time.Duration(step) * 2 * time.Second})
	case step == 6:
		store.Faults.Queue(kv.CallCommit, kv.Fault{Hold: true})
	case step == 7:
		store.ApplyHeld()
	default:
		store.Faults.SetDown(step == 8)
	}
}

// checkTokens collects every token seen so far and tries a guarded write with each of them.
func checkTokens(g Gomega, store *kv.Memory, holders []*lease.Holder, tokens []lease.Token) []lease.Token {
	held := 0
	for _, h := range holders {
		if token, ok := h.Held(); ok {
			held++
			tokens = append(tokens, token)
		}
	}
	g.Expect(held).To(BeNumerically("<=", 1))
	applied := make(map[kvstore.Revision]bool)
	for _, token := range tokens {
		results, err := store.Commit(context.Background(), guardedWrite(token))
		if err == nil && results[0].Applied {
			applied[token.Revision] = true
		}
	}
	g.Expect(len(applied)).To(BeNumerically("<=", 1))
	return tokens
}
