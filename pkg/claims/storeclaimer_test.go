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

func repeatFault(fault kv.Fault, n int) []kv.Fault {
	faults := make([]kv.Fault, n)
	for i := range faults {
		faults[i] = fault
	}
	return faults
}

// TestClaimFaults guards against a grant without a confirmed claim, and against a key that stays blocked although the
// store rejected the claim.
func TestClaimFaults(t *testing.T) {
	lost, held, refuse := kv.Fault{DropReply: true}, kv.Fault{Hold: true}, kv.Fault{Refuse: true}
	cases := map[string]struct {
		call   kv.Call
		faults []kv.Fault
		// first and second are the expected errors of two calls. nil means that the call is granted.
		first, second error
	}{
		"refused":                    {kv.CallCommit, []kv.Fault{refuse}, claims.ErrUnavailable, nil},
		"reply lost":                 {kv.CallCommit, []kv.Fault{lost}, nil, claims.ErrOutcomeUnknown},
		"late":                       {kv.CallCommit, []kv.Fault{held}, nil, claims.ErrOutcomeUnknown},
		"all replies lost":           {kv.CallCommit, repeatFault(lost, 3), claims.ErrUnavailable, nil},
		"reply lost, retry rejected": {kv.CallCommit, []kv.Fault{lost, refuse}, claims.ErrUnavailable, nil},
		"every attempt late":         {kv.CallCommit, repeatFault(held, 3), claims.ErrUnavailable, nil},
		"lease refused":              {kv.CallGrant, []kv.Fault{refuse}, claims.ErrUnavailable, nil},
		"lease reply lost":           {kv.CallGrant, []kv.Fault{lost}, claims.ErrUnavailable, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				for _, fault := range c.faults {
					env.store.Faults.Queue(c.call, fault)
				}
				for _, want := range []error{c.first, c.second} {
					grant, _, err := env.claim("x", "k", "a", time.Second)
					if want == nil {
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(grant).NotTo(BeNil())
					} else {
						g.Expect(err).To(MatchError(want))
					}
					time.Sleep(time.Minute)
				}
				env.store.ApplyHeld()
				for _, instance := range instances {
					grant, _, _ := env.claim(instance, "k", "a", time.Second)
					g.Expect(grant).To(BeNil())
				}
			})
		})
	}
}

// TestGrantFaults guards against a response or a release that counts as stored although the store has not confirmed it.
func TestGrantFaults(t *testing.T) {
	lost, refuse := kv.Fault{DropReply: true}, kv.Fault{Refuse: true}
	for name, c := range map[string]struct {
		release bool
		faults  []kv.Fault
		fails   bool
		// granted and replayed report what a later call at the other instance gets. If both are false, it gets
		// ErrOutcomeUnknown.
		granted, replayed bool
	}{
		"complete, reply lost":       {faults: []kv.Fault{lost}, replayed: true},
		"complete, refused":          {faults: []kv.Fault{refuse}, fails: true},
		"complete, all replies lost": {faults: repeatFault(lost, 3), fails: true, replayed: true},
		"release, reply lost":        {release: true, faults: []kv.Fault{lost}, granted: true},
		"release, refused":           {release: true, faults: []kv.Fault{refuse}, fails: true},
		"release, all replies lost":  {release: true, faults: repeatFault(lost, 3), fails: true, granted: true},
	} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				grant, _, err := env.claim("x", "k", "a", callTimeout)
				g.Expect(err).NotTo(HaveOccurred())
				for _, fault := range c.faults {
					env.store.Faults.Queue(kv.CallCommit, fault)
				}
				if c.release {
					err = grant.Release(context.Background())
				} else {
					err = grant.Complete(context.Background(), newResponse("done"))
				}
				g.Expect(err != nil).To(Equal(c.fails))
				time.Sleep(time.Hour)
				again, response, err := env.claim("y", "k", "a", callTimeout)
				g.Expect(again != nil).To(Equal(c.granted))
				g.Expect(response != nil).To(Equal(c.replayed))
				if !c.granted && !c.replayed {
					g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
				}
			})
		})
	}
}

// Guards against a key that stays blocked because the caller gave up before the claim was written.
func TestAbandonedClaimIsDeleted(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.store.Faults.Queue(kv.CallCommit, kv.Fault{Delay: time.Second})
		_, _, err := env.claim("x", "k", "a", 100*time.Millisecond)
		g.Expect(err).To(MatchError(claims.ErrUnavailable))
		time.Sleep(time.Minute)
		grant, _, err := env.claim("y", "k", "a", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant).NotTo(BeNil())
	})
}

// Guards against a repeated call at the same instance that fails although the first call is about to complete.
func TestConcurrentCallWaitsForTheFirst(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		grant, _, err := env.claim("x", "k", "a", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		_, _, err = env.claim("x", "k", "a", time.Second)
		g.Expect(err).To(MatchError(claims.ErrInProgress))
		var response *claims.Response
		var wg conc.WaitGroup
		wg.Go(func() { _, response, err = env.claim("x", "k", "a", callTimeout) })
		synctest.Wait()
		g.Expect(grant.Complete(context.Background(), newResponse("done"))).To(Succeed())
		wg.Wait()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(*response).To(Equal(newResponse("done")))
	})
}

// Guards against an instance that reports not_run after a crash between claim and dispatch, although it cannot know
// whether the call ran.
func TestCrashBetweenClaimAndDispatch(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		_, _, err := env.claim("x", "k", "a", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		env.startInstance("x")
		_, _, err = env.claim("x", "k", "a", time.Second)
		g.Expect(err).To(MatchError(claims.ErrInProgress))
		time.Sleep(callTimeout)
		for _, instance := range instances {
			_, _, err = env.claim(instance, "k", "a", callTimeout)
			g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		}
	})
}

// Guards against claims that fail permanently after the store has lost the shared lease, and against one lease per
// claim.
func TestSharedLeases(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		for i := range 20 {
			grant, _, err := env.claim("x", fmt.Sprint("k", i), "a", callTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Complete(context.Background(), newResponse("done"))).To(Succeed())
		}
		g.Expect(env.store.Faults.Count(kv.CallGrant)).To(Equal(2))
		g.Expect(env.store.Revoke(context.Background(), 1)).To(Succeed())
		grant, _, err := env.claim("x", "new", "a", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant).NotTo(BeNil())
	})
}

// Guards against one commit per claim under load, and against a delay when idle.
func TestGroupCommit(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		start := time.Now()
		_, _, err := env.claim("x", "idle", "a", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(BeZero())
		env.store.Faults.SetLatency(2 * time.Millisecond)
		before := env.store.Faults.Count(kv.CallCommit)
		var wg conc.WaitGroup
		for i := range 1000 {
			time.Sleep(100 * time.Microsecond)
			wg.Go(func() {
				grant, _, err := env.claim("x", fmt.Sprint("k", i), "a", callTimeout)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(grant).NotTo(BeNil())
			})
		}
		wg.Wait()
		g.Expect(env.store.Faults.Count(kv.CallCommit) - before).To(BeNumerically("<", 100))
	})
}

// Guards against a release that reaches the store late and deletes the claim of a later call.
func TestLateReleaseLeavesLaterClaim(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		grant, _, err := env.claim("x", "k", "a", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		env.store.Faults.Queue(kv.CallCommit, kv.Fault{Hold: true})
		g.Expect(grant.Release(context.Background())).To(Succeed())
		grant, _, err = env.claim("y", "k", "a", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant).NotTo(BeNil())
		env.store.ApplyHeld()
		grant, _, err = env.claim("x", "k", "a", time.Second)
		g.Expect(grant).To(BeNil())
		g.Expect(err).To(MatchError(claims.ErrInProgress))
	})
}
