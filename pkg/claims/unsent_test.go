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

// Guards against a call that was told to repeat because it was not sent, and whose repetitions never run: its claim took
// effect, the reply was lost and the store went away. Guards also against two calls that both take the claim over, and
// against another process or another request that does.
func TestUnsentClaimIsTakenOverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := kv.NewMemory()
		claimer := func(incarnation string) *claims.StoreClaimer {
			return claims.NewStoreClaimer(claims.StoreOptions{Store: store, Prefix: "p/", Instance: "i", Incarnation: incarnation})
		}
		own, other := claimer("1"), claimer("2")
		defer own.Close()
		defer other.Close()
		claim := func(c *claims.StoreClaimer, hash byte) (claims.Grant, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			// The context ends with the call, which also ends the wait of later calls for it.
			defer cancel()
			grant, _, err := c.Claim(ctx, claims.Request{Member: "m", Key: "k", Hash: [32]byte{hash}})
			return grant, err
		}
		store.Faults.Next(kv.CallCommit, kv.Fault{DropReply: true})
		store.Faults.Next(kv.CallCommit, kv.Fault{Refuse: true})
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
