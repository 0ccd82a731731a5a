package claims_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
)

// Guards against a call that fails with ErrUnavailable and can never be repeated successfully. This happens when its
// claim takes effect, the reply is lost and the store becomes unavailable. Also guards against two calls that both take
// over the claim, and against a takeover by another process or for another request.
func TestUnconfirmedClaimIsTakenOverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := kv.NewMemory()
		newClaimer := func(incarnation string) *claims.StoreClaimer {
			return claims.NewStoreClaimer(claims.StoreOptions{Store: store, Prefix: "p/", Instance: "i", Incarnation: incarnation})
		}
		own, other := newClaimer("1"), newClaimer("2")
		defer own.Close()
		defer other.Close()
		claim := func(c *claims.StoreClaimer, hash byte) (claims.Grant, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			// Once the context has ended, later calls no longer wait for this call.
			defer cancel()
			grant, _, err := c.Claim(ctx, claims.Request{Member: "m", Key: "k", Hash: [32]byte{hash}})
			return grant, err
		}
		store.Faults.Queue(kv.CallCommit, kv.Fault{DropReply: true})
		store.Faults.Queue(kv.CallCommit, kv.Fault{Refuse: true})
		_, err := claim(own, 1)
		g.Expect(err).To(MatchError(claims.ErrUnavailable))
		time.Sleep(time.Minute)
		_, err = claim(other, 1)
		g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		_, err = claim(own, 2)
		g.Expect(err).To(MatchError(claims.ErrKeyReused))
		grant, err := claim(own, 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant).NotTo(BeNil())
		synctest.Wait()
		_, err = claim(own, 1)
		g.Expect(err).To(MatchError(claims.ErrOutcomeUnknown))
		g.Expect(grant.Complete(context.Background(), claims.Response{Status: 200})).To(Succeed())
		_, err = claim(other, 1)
		g.Expect(err).NotTo(HaveOccurred(), "the response is replayed")
	})
}
