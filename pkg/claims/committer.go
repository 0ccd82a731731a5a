package claims

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

const (
	// maxBatchWrites stays below the usual limit of 128 operations per transaction.
	maxBatchWrites = 100
	// maxBatchBytes keeps a batch below the usual request limit of 1.5 MiB after base64.
	maxBatchBytes = 768 << 10
	// maxInFlight lets other batches pass one whose reply is late.
	maxInFlight = 4
	// defaultMaxDelay is the longest wait for more writes.
	defaultMaxDelay = 4 * time.Millisecond
	// targetBatch is the number of writes for which it pays to wait.
	targetBatch = 32
	// idleGaps caps an observed gap between arrivals, as a multiple of the longest wait. One idle period then already
	// moves the average beyond the longest wait, and the next write is sent at once.
	idleGaps = 10
	// gapWeight is the weight of the newest gap in the moving average.
	gapWeight = 0.125
	// commitTimeout bounds each call; it does not depend on the callers' contexts because a batch has several callers.
	commitTimeout = 2 * time.Second
	// commitAttempts is the number of calls for a batch, of which the later ones read back after a lost reply.
	commitAttempts = 3
)

// leaseKind selects the shared lease that a put is bound to.
type leaseKind int

const (
	claimLease leaseKind = iota
	answerLease
)

// pendingWrite is one conditional write that waits for its batch.
type pendingWrite struct {
	write kvstore.ConditionalWrite
	// key is the only key that the write changes.
	key   string
	kind  leaseKind
	bytes int
	// done receives exactly one result.
	done chan writeOutcome
}

type writeOutcome struct {
	result kvstore.WriteResult
	// retried is set when an earlier call with the same write may have taken effect.
	retried bool
	err     error
}

// committer collects conditional writes that arrive close together into one Commit call (group commit). The wait
// adjusts to the arrival rate: none when idle, up to maxDelay under load.
type committer struct {
	store    kvstore.Writer
	leases   *periodLeases
	maxDelay time.Duration
	maxBatch int
	scope    tally.Scope
	workers  conc.WaitGroup

	mu        sync.Mutex
	queue     []*pendingWrite
	scheduled bool
	inFlight  int
	last      time.Time
	gap       time.Duration
	closed    bool
}

func newCommitter(store kvstore.Writer, leases *periodLeases, maxDelay time.Duration, maxBatch int, scope tally.Scope) *committer {
	return &committer{
		store:    store,
		leases:   leases,
		maxDelay: maxDelay,
		maxBatch: maxBatch,
		scope:    scope,
		gap:      idleGaps * maxDelay,
	}
}

// submit queues a write; its result arrives at done.
func (c *committer) submit(p *pendingWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		p.done <- writeOutcome{err: kvstore.ErrUnavailable}
		return
	}
	c.observe(time.Now())
	c.queue = append(c.queue, p)
	if len(c.queue) >= c.maxBatch {
		c.flushLocked()
		return
	}
	c.schedule()
}

// close fails what is queued later and waits for the batches in flight.
func (c *committer) close() {
	c.mu.Lock()
	c.closed = true
	for len(c.queue) > 0 {
		c.startBatch()
	}
	c.mu.Unlock()
	c.workers.Wait()
}

// observe updates the moving average of the gap between arrivals.
func (c *committer) observe(now time.Time) {
	gap := min(now.Sub(c.last), idleGaps*c.maxDelay)
	c.last = now
	c.gap += time.Duration(gapWeight * float64(gap-c.gap))
}

// schedule arranges the next flush: at once when no other write is expected within the longest wait.
func (c *committer) schedule() {
	if c.scheduled || len(c.queue) == 0 {
		return
	}
	if c.gap >= c.maxDelay {
		c.flushLocked()
		return
	}
	c.scheduled = true
	time.AfterFunc(min(c.maxDelay, targetBatch*c.gap), c.flush)
}

func (c *committer) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduled = false
	c.flushLocked()
}

func (c *committer) flushLocked() {
	for len(c.queue) > 0 && c.inFlight < maxInFlight {
		c.startBatch()
		if len(c.queue) < c.maxBatch {
			break
		}
	}
	if c.inFlight < maxInFlight {
		c.schedule()
	}
}

// startBatch starts a call with the oldest writes that fit.
func (c *committer) startBatch() {
	batch := c.take()
	c.inFlight++
	c.workers.Go(func() { c.run(batch) })
}

func (c *committer) run(batch []*pendingWrite) {
	c.commit(batch)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if !c.scheduled && !c.closed {
		c.flushLocked()
	}
}

// take removes a batch from the queue. A second write of a key stays for a later batch: the service rejects a call that
// writes a key twice.
func (c *committer) take() []*pendingWrite {
	var batch, rest []*pendingWrite
	taken := make(map[string]bool)
	size := 0
	for _, p := range c.queue {
		full := len(batch) >= c.maxBatch || len(batch) > 0 && size+p.bytes > maxBatchBytes
		if full || taken[p.key] {
			rest = append(rest, p)
			// A later write of the key must not pass this one in the queue.
			taken[p.key] = true
			continue
		}
		taken[p.key] = true
		size += p.bytes
		batch = append(batch, p)
	}
	c.queue = rest
	return batch
}

// commit sends the batch. After a lost reply the same writes are sent again: their conditions decide at the store
// whether the first call took effect, and the values read on failure tell whose write it was.
func (c *committer) commit(batch []*pendingWrite) {
	c.scope.Counter("writes").Inc(int64(len(batch)))
	retried := false
	var err error
	for range commitAttempts {
		var results []kvstore.WriteResult
		results, err = c.attempt(batch)
		c.scope.Counter("commits").Inc(1)
		if err == nil {
			for i, p := range batch {
				p.done <- writeOutcome{result: results[i], retried: retried}
			}
			return
		}
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			c.leases.forget()
			continue
		}
		if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			break
		}
		retried = true
	}
	for _, p := range batch {
		p.done <- writeOutcome{retried: retried, err: err}
	}
}

func (c *committer) attempt(batch []*pendingWrite) ([]kvstore.WriteResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	writes := make([]kvstore.ConditionalWrite, len(batch))
	for i, p := range batch {
		writes[i] = p.write
		if len(p.write.Puts) == 0 {
			continue
		}
		id, err := c.leases.get(ctx, p.kind)
		if err != nil {
			// Nothing of the batch was sent by this attempt.
			return nil, errors.Wrap(kvstore.ErrUnavailable, err.Error())
		}
		put := p.write.Puts[0]
		put.Lease = id
		writes[i].Puts = []kvstore.Put{put}
	}
	return c.store.Commit(ctx, writes)
}
