package kv_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

func putWrites(key string) []kvstore.ConditionalWrite {
	return []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: key}}}}
}

// Guards against a watch that receives the expiry of a lease only at the next call to the store.
func TestLeaseExpiryWakesWatchWithoutCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := t.Context()
		store := kv.NewMemory()
		id, _, err := store.Grant(ctx, 10*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = store.Commit(ctx, []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: "a", Lease: id}}}})
		g.Expect(err).NotTo(HaveOccurred())
		watch, err := store.Watch(ctx, "a", store.Revision()+1)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(6 * time.Second)
		_, err = store.KeepAlive(ctx, id)
		g.Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		events, err := watch.Next(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(events[0].Deleted).To(BeTrue())
		g.Expect(time.Since(start)).To(Equal(10 * time.Second))
	})
}

// Guards against a lost reply that is attributed to another concurrent call of the same method.
func TestFaultBelongsToItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := kv.NewMemory()
		store.Faults.Queue(kv.CallCommit, kv.Fault{Delay: time.Second, DropReply: true})
		var first error
		var wg conc.WaitGroup
		wg.Go(func() { _, first = store.Commit(t.Context(), putWrites("a")) })
		synctest.Wait()
		_, second := store.Commit(t.Context(), putWrites("b"))
		wg.Wait()
		g.Expect(first).To(MatchError(kvstore.ErrOutcomeUnknown))
		g.Expect(second).NotTo(HaveOccurred())
	})
}

// Guards against a latency or rate limit that has no effect.
func TestLatencyAndRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := kv.NewMemory()
		store.Faults.SetLatency(300 * time.Millisecond)
		start := time.Now()
		_, _, _, err := store.Get(t.Context(), "a")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(Equal(300 * time.Millisecond))
		store.Faults.SetLatency(0)
		store.Faults.SetRates(0, 10)
		start = time.Now()
		for range 11 {
			_, err = store.Commit(t.Context(), putWrites("a"))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(time.Since(start)).To(BeNumerically("~", time.Second, time.Millisecond))
		rejected := 0
		var wg conc.WaitGroup
		results := make(chan error, 30)
		for range cap(results) {
			wg.Go(func() { _, err := store.Commit(t.Context(), putWrites("a")); results <- err })
		}
		wg.Wait()
		close(results)
		for err := range results {
			if err != nil {
				rejected++
			}
		}
		// Within the maximum queue delay of 1 s, 10 calls are admitted at 10 writes per second.
		g.Expect(rejected).To(Equal(20))
	})
}

// Guards against faults that cannot be set from another process.
func TestFaultsOverHTTP(t *testing.T) {
	g := NewWithT(t)
	store := kv.NewMemory()
	server := kv.NewServer(store)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	defer wg.Wait()
	defer func() { _ = server.Close() }()
	url := "http://" + listener.Addr().String() + "/faults"
	post := func(body string) int {
		response, err := http.Post(url, "application/json", bytes.NewBufferString(body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		return response.StatusCode
	}
	commit := func() error { _, err := store.Commit(context.Background(), putWrites("a")); return err }
	g.Expect(post(`{"call":"commit","refuse":true,"count":2}`)).To(Equal(http.StatusNoContent))
	g.Expect(commit()).To(MatchError(kvstore.ErrUnavailable))
	g.Expect(commit()).To(MatchError(kvstore.ErrUnavailable))
	g.Expect(post(`{"call":"commit","hold":true}`)).To(Equal(http.StatusNoContent))
	g.Expect(commit()).To(MatchError(kvstore.ErrOutcomeUnknown))
	g.Expect(store.Revision()).To(BeEquivalentTo(1))
	g.Expect(post(`{"applyHeld":true}`)).To(Equal(http.StatusNoContent))
	g.Expect(store.Revision()).To(BeEquivalentTo(2))
	g.Expect(post(`{"down":true}`)).To(Equal(http.StatusNoContent))
	g.Expect(commit()).To(MatchError(kvstore.ErrUnavailable))
	g.Expect(post(`{"down":false}`)).To(Equal(http.StatusNoContent))
	g.Expect(commit()).To(Succeed())
	g.Expect(post(`{"unknown":1}`)).To(Equal(http.StatusBadRequest))
	response, err := http.Get(url)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	counts := make(map[kv.Call]int)
	g.Expect(json.NewDecoder(response.Body).Decode(&counts)).To(Succeed())
	g.Expect(counts[kv.CallCommit]).To(Equal(5))
}
