package claims_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
)

func repeat(fault kv.Fault, n int) []kv.Fault {
	faults := make([]kv.Fault, n)
	for i := range faults {
		faults[i] = fault
	}
	return faults
}

// TestClaimFaults guards against a grant without a proven claim, and against a claim that blocks the key although the
// store refused it.
func TestClaimFaults(t *testing.T) {
	lost, held, refuse := kv.Fault{DropReply: true}, kv.Fault{Hold: true}, kv.Fault{Refuse: true}
	cases := map[string]struct {
		call   kv.Call
		faults []kv.Fault
		// first and second are the errors of two calls, nil for a grant.
		first, second error
	}{
		"refused":                         {kv.CallCommit, []kv.Fault{refuse}, claims.ErrUnavailable, nil},
		"reply lost":                      {kv.CallCommit, []kv.Fault{lost}, nil, claims.ErrOutcomeUnknown},
		"late":                            {kv.CallCommit, []kv.Fault{held}, nil, claims.ErrOutcomeUnknown},
		"reply lost, reading back lost":   {kv.CallCommit, repeat(lost, 3), claims.ErrUnavailable, nil},
		"reply lost, reading back denied": {kv.CallCommit, []kv.Fault{lost, refuse}, claims.ErrUnavailable, nil},
		"every attempt late":              {kv.CallCommit, repeat(held, 3), claims.ErrUnavailable, nil},
		"lease refused":                   {kv.CallGrant, []kv.Fault{refuse}, claims.ErrUnavailable, nil},
		"lease reply lost":                {kv.CallGrant, []kv.Fault{lost}, claims.ErrUnavailable, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(g *WithT, w *world) {
				for _, fault := range c.faults {
					w.store.Faults.Next(c.call, fault)
				}
				for _, want := range []error{c.first, c.second} {
					grant, _, err := w.claim("x", "k", "a", time.Second)
					if want == nil {
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(grant).NotTo(BeNil())
					} else {
						g.Expect(err).To(MatchError(want))
					}
					time.Sleep(time.Minute)
				}
				w.store.ApplyHeld()
				for _, instance := range instances {
					grant, _, _ := w.claim(instance, "k", "a", time.Second)
					g.Expect(grant).To(BeNil())
				}
			})
		})
	}
}

// TestGrantFaults guards against a response or a release that is taken as stored without proof.
func TestGrantFaults(t *testing.T) {
	lost, refuse := kv.Fault{DropReply: true}, kv.Fault{Refuse: true}
	for name, c := range map[string]struct {
		release bool
		faults  []kv.Fault
		fails   bool
		// granted and replayed tell what a later call at the other instance gets; neither means unknown.
		granted, replayed bool
	}{
		"complete, reply lost":      {faults: []kv.Fault{lost}, replayed: true},
		"complete, refused":         {faults: []kv.Fault{refuse}, fails: true},
		"complete, all lost":        {faults: repeat(lost, 3), fails: true, replayed: true},
		"release, reply lost":       {release: true, faults: []kv.Fault{lost}, granted: true},
		"release, refused":          {release: true, faults: []kv.Fault{refuse}, fails: true},
		"release, all replies lost": {release: true, faults: repeat(lost, 3), fails: true, granted: true},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(g *WithT, w *world) {
				grant, _, err := w.claim("x", "k", "a", life)
				g.Expect(err).NotTo(HaveOccurred())
				for _, fault := range c.faults {
					w.store.Faults.Next(kv.CallCommit, fault)
				}
				if c.release {
					err = grant.Release(context.Background())
				} else {
					err = grant.Complete(context.Background(), answer("done"))
				}
				g.Expect(err != nil).To(Equal(c.fails))
				time.Sleep(time.Hour)
				again, response, err := w.claim("y", "k", "a", life)
				g.Expect(again != nil).To(Equal(c.granted))
				g.Expect(response != nil).To(Equal(c.replayed))
				if !c.granted && !c.replayed {
					g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
				}
			})
		})
	}
}

// Guards against a key that stays blocked because its caller gave up before the claim was written.
func TestAbandonedClaimIsDeleted(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		w.store.Faults.Next(kv.CallCommit, kv.Fault{Delay: time.Second})
		_, _, err := w.claim("x", "k", "a", 100*time.Millisecond)
		g.Expect(err).To(MatchError(claims.ErrUnavailable))
		time.Sleep(time.Minute)
		grant, _, err := w.claim("y", "k", "a", life)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant).NotTo(BeNil())
	})
}

// Guards against a repetition at the same instance that fails although the first call is about to end.
func TestWaitsForTheFirstCall(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		grant, _, err := w.claim("x", "k", "a", life)
		g.Expect(err).NotTo(HaveOccurred())
		_, _, err = w.claim("x", "k", "a", time.Second)
		g.Expect(err).To(MatchError(claims.ErrInProgress))
		var response *claims.Response
		var wg conc.WaitGroup
		wg.Go(func() { _, response, err = w.claim("x", "k", "a", life) })
		synctest.Wait()
		g.Expect(grant.Complete(context.Background(), answer("done"))).To(Succeed())
		wg.Wait()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(*response).To(Equal(answer("done")))
	})
}

// Guards against a crash between claim and dispatch that is taken as "not run" by an instance that cannot know.
func TestCrashBetweenClaimAndDispatch(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		_, _, err := w.claim("x", "k", "a", life)
		g.Expect(err).NotTo(HaveOccurred())
		w.start("x")
		_, _, err = w.claim("x", "k", "a", time.Second)
		g.Expect(err).To(MatchError(claims.ErrInProgress))
		time.Sleep(life)
		for _, instance := range instances {
			_, _, err = w.claim(instance, "k", "a", life)
			g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		}
	})
}

// Guards against a claim that fails forever after the store lost the shared lease, and a lease per claim.
func TestSharedLeases(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		for i := range 20 {
			grant, _, err := w.claim("x", fmt.Sprint("k", i), "a", life)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Complete(context.Background(), answer("done"))).To(Succeed())
		}
		g.Expect(w.store.Faults.Count(kv.CallGrant)).To(Equal(2))
		g.Expect(w.store.Revoke(context.Background(), 1)).To(Succeed())
		grant, _, err := w.claim("x", "new", "a", life)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant).NotTo(BeNil())
	})
}

// Guards against a commit per claim under load, and against a wait when idle.
func TestGroupCommit(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		start := time.Now()
		_, _, err := w.claim("x", "idle", "a", life)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(BeZero())
		w.store.Faults.SetLatency(2 * time.Millisecond)
		before := w.store.Faults.Count(kv.CallCommit)
		var wg conc.WaitGroup
		for i := range 1000 {
			time.Sleep(100 * time.Microsecond)
			wg.Go(func() {
				grant, _, err := w.claim("x", fmt.Sprint("k", i), "a", life)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(grant).NotTo(BeNil())
			})
		}
		wg.Wait()
		g.Expect(w.store.Faults.Count(kv.CallCommit) - before).To(BeNumerically("<", 100))
	})
}

// Guards against a release that reaches the store late and deletes the claim of a later call.
func TestLateReleaseLeavesLaterClaim(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		grant, _, err := w.claim("x", "k", "a", life)
		g.Expect(err).NotTo(HaveOccurred())
		w.store.Faults.Next(kv.CallCommit, kv.Fault{Hold: true})
		g.Expect(grant.Release(context.Background())).To(Succeed())
		grant, _, err = w.claim("y", "k", "a", life)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant).NotTo(BeNil())
		w.store.ApplyHeld()
		grant, _, err = w.claim("x", "k", "a", time.Second)
		g.Expect(grant).To(BeNil())
		g.Expect(err).To(MatchError(claims.ErrInProgress))
	})
}
