package claims_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/pkg/claims"
)

const callTimeout = time.Minute

// TestClaimerContract checks the contract of Claimer for both implementations. Each case runs with the second call at
// the same instance as the first call, and with the second call at the other instance.
func TestClaimerContract(t *testing.T) {
	ctx := context.Background()
	rejected := Or(MatchError(claims.ErrOutcomeUnknown), MatchError(claims.ErrInProgress))
	cases := map[string]func(g *WithT, env *testEnv, key, second string){
		"replays the recorded response": func(g *WithT, env *testEnv, key, second string) {
			grant, _, err := env.claim("x", key, "a", callTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Complete(ctx, newResponse("booked"))).To(Succeed())
			for range 2 {
				again, response, err := env.claim(second, key, "a", callTimeout)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(again).To(BeNil())
				g.Expect(*response).To(Equal(newResponse("booked")))
			}
		},
		"rejects another request with the key": func(g *WithT, env *testEnv, key, second string) {
			grant, _, err := env.claim("x", key, "a", callTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			_, _, err = env.claim(second, key, "b", callTimeout)
			g.Expect(err).To(MatchError(claims.ErrKeyReused))
			g.Expect(grant.Complete(ctx, newResponse("booked"))).To(Succeed())
			_, _, err = env.claim(second, key, "b", callTimeout)
			g.Expect(err).To(MatchError(claims.ErrKeyReused))
		},
		"never grants a key whose call ended without a response": func(g *WithT, env *testEnv, key, second string) {
			_, _, err := env.claim("x", key, "a", callTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			_, _, err = env.claim(second, key, "a", time.Second)
			g.Expect(err).To(rejected)
			time.Sleep(time.Hour)
			_, _, err = env.claim(second, key, "a", callTimeout)
			g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		},
		"grants a released key again": func(g *WithT, env *testEnv, key, second string) {
			grant, _, err := env.claim("x", key, "a", callTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Release(ctx)).To(Succeed())
			g.Expect(grant.Complete(ctx, newResponse("late"))).NotTo(Succeed())
			again, _, err := env.claim(second, key, "a", callTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again).NotTo(BeNil())
			g.Expect(grant.Release(ctx)).NotTo(Succeed())
			_, _, err = env.claim("x", key, "a", time.Second)
			g.Expect(err).To(rejected)
		},
		"does not record a large response": func(g *WithT, env *testEnv, key, second string) {
			grant, _, err := env.claim("x", key, "a", callTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			large := claims.Response{Body: make([]byte, claims.MaxRecordedBytes+1)}
			g.Expect(grant.Complete(ctx, large)).To(MatchError(claims.ErrNotRecorded))
			_, _, err = env.claim(second, key, "a", time.Second)
			g.Expect(err).To(rejected)
			time.Sleep(time.Hour)
			_, _, err = env.claim(second, key, "a", callTimeout)
			g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		},
		"rejects the key after the window": func(g *WithT, env *testEnv, key, second string) {
			grant, _, err := env.claim("x", key, "a", callTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Complete(ctx, newResponse("booked"))).To(Succeed())
			time.Sleep(claims.ResponseWindow - time.Minute)
			_, response, err := env.claim(second, key, "a", callTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response).NotTo(BeNil())
			for range 10 {
				time.Sleep(39 * 24 * time.Hour)
				_, _, err = env.claim(second, key, "a", callTimeout)
				g.Expect(err).To(MatchError(claims.ErrExpired))
			}
		},
		"grants one of many concurrent calls": func(g *WithT, env *testEnv, key, second string) {
			granted := make(chan claims.Grant, 40)
			var wg conc.WaitGroup
			for i := range cap(granted) {
				wg.Go(func() {
					grant, _, _ := env.claim([]string{"x", second}[i%2], key, "a", time.Second)
					if grant != nil {
						granted <- grant
					}
				})
			}
			wg.Wait()
			g.Expect(granted).To(HaveLen(1))
		},
	}
	for name, test := range cases {
		for _, kind := range []string{"store", "issued"} {
			for _, second := range instances {
				t.Run(name+"/"+kind+"/"+second, func(t *testing.T) {
					withTestEnv(t, func(g *WithT, env *testEnv) { test(g, env, env.key(g, kind), second) })
				})
			}
		}
	}
}
