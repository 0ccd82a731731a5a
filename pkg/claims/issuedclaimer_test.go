package claims_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/pkg/claims"
)

// Guards against a lost request or reply of a redemption that leads to a second grant or to an outcome not_run for a
// call that may have run.
func TestRedeemFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults []peerFault
		// first and second are the expected errors of two calls. nil means that the call is granted.
		first  error
		second error
	}{
		"request lost once":  {[]peerFault{peerRequestLost}, nil, claims.ErrInProgress},
		"reply lost once":    {[]peerFault{peerReplyLost}, nil, claims.ErrInProgress},
		"issuer unreachable": {[]peerFault{peerRequestLost, peerRequestLost, peerRequestLost}, claims.ErrOutcomeUnknown, nil},
		"all replies lost":   {[]peerFault{peerReplyLost, peerReplyLost, peerReplyLost}, claims.ErrOutcomeUnknown, claims.ErrInProgress},
		"delivered twice":    {[]peerFault{peerDuplicated}, nil, claims.ErrInProgress},
	} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				key := env.key(g, "issued")
				env.peers.faults = c.faults
				for _, want := range []error{c.first, c.second} {
					grant, _, err := env.claim("y", key, "a", callTimeout)
					if want == nil {
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(grant).NotTo(BeNil())
						continue
					}
					g.Expect(err).To(MatchError(want))
				}
			})
		})
	}
}

// Guards against two kinds of late duplicates. A redeem request that arrives again after its grant was released must
// not block the key. A release that arrives again must not release the key after it was granted to another call.
func TestDuplicatedRequestsHaveNoEffect(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		key := env.key(g, "issued")
		env.peers.faults = []peerFault{peerDuplicated, peerDuplicated}
		grant, _, err := env.claim("y", key, "a", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Release(context.Background())).To(Succeed())
		env.peers.duplicates[0]()
		grant, _, err = env.claim("x", key, "a", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		env.peers.duplicates[1]()
		unknownRelease := claims.CompleteRequest{Member: "farm", Key: key, Redemption: "never granted", Released: true}
		g.Expect(env.peers.issuers["x"].Complete(unknownRelease)).To(Succeed())
		_, _, err = env.claim("y", key, "a", callTimeout)
		g.Expect(err).To(MatchError(claims.ErrInProgress))
		g.Expect(grant.Complete(context.Background(), newResponse("done"))).To(Succeed())
	})
}

// Guards against a key that is granted by an incarnation that did not issue it.
func TestOtherIncarnationDoesNotGrant(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		key := env.key(g, "issued")
		env.startInstance("x")
		for _, instance := range instances {
			_, _, err := env.claim(instance, key, "a", callTimeout)
			g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		}
	})
}

// Guards against a key that another member can use, and against forged keys.
func TestForgedKeysAreNotGranted(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		key := env.key(g, "issued")
		parsed, err := claims.ParseIssuedKey(key)
		g.Expect(err).NotTo(HaveOccurred())
		request := claims.Request{Member: "index", Key: key}
		_, _, err = env.claimers["x"].Claim(context.Background(), request)
		g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		parsed.Secret = strings.Repeat("A", 22)
		for _, forged := range []string{parsed.String(), key + "A", key + ".x", "mgk1.", strings.Repeat("mgk1.", 1000)} {
			_, _, err = env.claim("x", forged, "a", callTimeout)
			g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		}
		grant, _, err := env.claim("x", key, "a", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant).NotTo(BeNil())
	})
}

// Guards against unbounded memory, against a member that evicts keys of another member, and against a grant for a key
// that was evicted or has expired. Keys are issued, redeemed, completed and left to expire in random order.
func TestBoundsAndEviction(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 80).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			issuer := claims.NewIssuer(claims.IssuerOptions{
				Instance: "x", Incarnation: "i", MaxKeys: 8, MaxKeysPerMember: 4, MaxTotalRecordedBytes: 10,
			})
			granted := make(map[string]int)
			issuedAt := make(map[string]time.Time)
			var keys []string
			for _, step := range steps {
				member := []string{"a", "b", "c"}[step%3]
				switch {
				case step < 40:
					if key, err := issuer.Issue(member); err == nil {
						keys = append(keys, member+" "+key)
						issuedAt[member+" "+key] = time.Now()
					}
				case step < 50:
					time.Sleep(time.Duration(step-39) * time.Hour)
				case len(keys) > 0:
					id := keys[(step*7)%len(keys)]
					owner, key, _ := strings.Cut(id, " ")
					request := claims.RedeemRequest{Request: claims.Request{Member: owner, Key: key}, Redemption: id}
					newerKeys := 0
					for _, other := range keys {
						if strings.HasPrefix(other, owner+" ") && issuedAt[other].After(issuedAt[id]) {
							newerKeys++
						}
					}
					result := issuer.Redeem(request)
					if result.State == claims.KeyGranted {
						granted[id]++
						g.Expect(time.Since(issuedAt[id])).To(BeNumerically("<", claims.ResponseWindow))
						g.Expect(newerKeys).To(BeNumerically("<", 4))
						complete := claims.CompleteRequest{Member: owner, Key: key, Redemption: id, Response: newResponse("12345")}
						g.Expect(issuer.Complete(complete)).To(Succeed())
					}
				}
				g.Expect(issuer.Len()).To(BeNumerically("<=", 8))
			}
			for _, n := range granted {
				g.Expect(n).To(Equal(1))
			}
		})
	})
}
