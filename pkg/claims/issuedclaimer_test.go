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

// Guards against a redemption whose lost reply leads to a second grant or to a wrong "not run".
func TestRedeemFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults []peerFault
		first  error
		second error
	}{
		"request lost once":    {[]peerFault{peerUnsent}, nil, claims.ErrInProgress},
		"reply lost once":      {[]peerFault{peerLost}, nil, claims.ErrInProgress},
		"issuer unreachable":   {[]peerFault{peerUnsent, peerUnsent, peerUnsent}, claims.ErrOutcomeUnknown, nil},
		"all replies lost":     {[]peerFault{peerLost, peerLost, peerLost}, claims.ErrOutcomeUnknown, claims.ErrInProgress},
		"delivered once again": {[]peerFault{peerTwice}, nil, claims.ErrInProgress},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(g *WithT, w *world) {
				key := w.key(g, "issued")
				w.net.faults = c.faults
				for _, want := range []error{c.first, c.second} {
					grant, _, err := w.claim("y", key, "a", life)
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

// Guards against a late copy of a release, or of a released redemption, that frees or blocks a key another call holds.
func TestLateCopies(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		key := w.key(g, "issued")
		w.net.faults = []peerFault{peerTwice, peerTwice}
		grant, _, err := w.claim("y", key, "a", life)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Release(context.Background())).To(Succeed())
		w.net.late[0]()
		grant, _, err = w.claim("x", key, "a", life)
		g.Expect(err).NotTo(HaveOccurred())
		w.net.late[1]()
		stray := claims.CompleteRequest{Member: "farm", Key: key, Redemption: "never granted", Released: true}
		g.Expect(w.net.issuers["x"].Complete(stray)).To(Succeed())
		_, _, err = w.claim("y", key, "a", life)
		g.Expect(err).To(MatchError(claims.ErrInProgress))
		g.Expect(grant.Complete(context.Background(), answer("done"))).To(Succeed())
	})
}

// Guards against a key that is granted by another incarnation than the one that issued it.
func TestOtherIncarnation(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		key := w.key(g, "issued")
		w.start("x")
		for _, instance := range instances {
			_, _, err := w.claim(instance, key, "a", life)
			g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		}
	})
}

// Guards against a key that another member or a forger can use.
func TestForgedKeys(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		key := w.key(g, "issued")
		parsed, err := claims.ParseIssuedKey(key)
		g.Expect(err).NotTo(HaveOccurred())
		request := claims.Request{Member: "index", Key: key}
		_, _, err = w.claimers["x"].Claim(context.Background(), request)
		g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		parsed.Secret = strings.Repeat("A", 22)
		for _, forged := range []string{parsed.String(), key + "A", key + ".x", "mgk1.", strings.Repeat("mgk1.", 1000)} {
			_, _, err = w.claim("x", forged, "a", life)
			g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		}
		grant, _, err := w.claim("x", key, "a", life)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant).NotTo(BeNil())
	})
}

// Guards against unbounded memory, against one member evicting another's keys, and against a grant for a key that was
// evicted or expired, for any order of issuing, redeeming, completing and waiting.
func TestBoundsAndEviction(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 80).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			issuer := claims.NewIssuer(claims.IssuerOptions{
				Instance: "x", Incarnation: "i", MaxKeys: 8, MaxKeysPerMember: 4, MaxRecordedTotal: 10,
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
					name := keys[(step*7)%len(keys)]
					owner, key, _ := strings.Cut(name, " ")
					request := claims.RedeemRequest{Request: claims.Request{Member: owner, Key: key}, Redemption: name}
					newer := 0
					for _, other := range keys {
						if strings.HasPrefix(other, owner+" ") && issuedAt[other].After(issuedAt[name]) {
							newer++
						}
					}
					result := issuer.Redeem(request)
					if result.State == claims.KeyGranted {
						granted[name]++
						g.Expect(time.Since(issuedAt[name])).To(BeNumerically("<", claims.AnswerWindow))
						g.Expect(newer).To(BeNumerically("<", 4))
						complete := claims.CompleteRequest{Member: owner, Key: key, Redemption: name, Response: answer("12345")}
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
