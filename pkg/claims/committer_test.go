package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// recordingWriter records the Commit calls to the store.
type recordingWriter struct {
	*kv.Memory
	mu    sync.Mutex
	calls [][]kvstore.ConditionalWrite
}

func (r *recordingWriter) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	r.mu.Lock()
	r.calls = append(r.calls, writes)
	r.mu.Unlock()
	return r.Memory.Commit(ctx, writes)
}

// Guards against two writes to one key in a batch, for which the store rejects the whole batch, and against a batch
// that exceeds the limits of the store.
func TestBatchesKeepTheStoreLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &recordingWriter{Memory: kv.NewMemory()}
		c := newCommitter(store, newPeriodLeases(store), time.Second, 10, tally.NoopScope)
		// With a short average gap the committer waits for more writes.
		c.averageGap = time.Millisecond
		c.lastArrival = time.Now()
		var writes []*pendingWrite
		for i := range 24 {
			value := []byte(fmt.Sprint(i))
			p := &pendingWrite{key: fmt.Sprint("k", i%3), bytes: maxBatchBytes / 4, done: make(chan writeOutcome, 1)}
			p.write.Puts = []kvstore.Put{{Key: p.key, Value: value}}
			writes = append(writes, p)
			c.submit(p)
		}
		for _, p := range writes {
			outcome := <-p.done
			g.Expect(outcome.err).NotTo(HaveOccurred())
			g.Expect(outcome.result.Applied).To(BeTrue())
		}
		c.close()
		for _, call := range store.calls {
			keys := make(map[string]bool)
			for _, w := range call {
				keys[w.Puts[0].Key] = true
			}
			g.Expect(keys).To(HaveLen(len(call)))
			g.Expect(len(call)).To(BeNumerically("<=", 4))
		}
		afterClose := &pendingWrite{key: "k", done: make(chan writeOutcome, 1)}
		c.submit(afterClose)
		g.Expect((<-afterClose.done).err).To(MatchError(kvstore.ErrUnavailable))
	})
}
