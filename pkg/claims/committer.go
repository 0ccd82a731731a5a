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
	// maxBatchWrites keeps a batch below the usual store limit of 128 operations per transaction.
	maxBatchWrites = 100
	// maxBatchBytes keeps a batch below the usual request limit of 1.5 MiB after base64 encoding.
	maxBatchBytes = 768 << 10
	// maxInFlightBatches is above one, so that a batch with a late reply does not block the others.
	maxInFlightBatches = 4
	// defaultMaxDelay is the default for the longest time that a write waits for more writes in its batch.
	defaultMaxDelay = 4 * time.Millisecond
	// targetBatchWrites is the number of writes for which waiting pays. A batch waits for the time in which this many
	// writes are expected, but at most for the maximum delay.
	targetBatchWrites = 32
	// maxGapFactor limits an observed gap between arrivals to a multiple of the maximum delay. A single idle period is
	// then enough to raise the average gap above the maximum delay, so the next write is sent immediately.
	maxGapFactor = 10
	// gapWeight is the weight of the latest gap in the moving average.
	gapWeight = 0.125
	// commitTimeout bounds each Commit call. It does not depend on the contexts of the callers, since a batch has
	// several.
	commitTimeout = 2 * time.Second
	// maxCommitAttempts is the largest number of Commit calls for a batch. The calls after the first determine the
	// result after a lost reply.
	maxCommitAttempts = 3
)

// leaseKind selects the shared store lease that a put is attached to.
type leaseKind int

const (
	claimLease leaseKind = iota
	responseLease
)

// pendingWrite is a conditional write that waits for its batch to be committed.
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
	// retried reports whether an earlier Commit call with the same write may have taken effect.
	retried bool
	err     error
}

// committer combines conditional writes that arrive close together into one Commit call (group commit). The delay
// adapts to the arrival rate: there is none when idle, and it is at most maxDelay under load.
type committer struct {
	store    kvstore.Writer
	leases   *periodLeases
	maxDelay time.Duration
	maxBatch int
	scope    tally.Scope
	workers  conc.WaitGroup

	mu             sync.Mutex
	queue          []*pendingWrite
	flushScheduled bool
	inFlight       int
	lastArrival    time.Time
	// averageGap is the moving average of the time between arrivals.
	averageGap time.Duration
	closed     bool
}

func newCommitter(store kvstore.Writer, leases *periodLeases, maxDelay time.Duration, maxBatch int, scope tally.Scope) *committer {
	return &committer{
		store:      store,
		leases:     leases,
		maxDelay:   maxDelay,
		maxBatch:   maxBatch,
		scope:      scope,
		averageGap: maxGapFactor * maxDelay,
	}
}

// submit queues a write. The result is sent on its done channel.
func (c *committer) submit(p *pendingWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		p.done <- writeOutcome{err: kvstore.ErrUnavailable}
		return
	}
	c.recordArrival(time.Now())
	c.queue = append(c.queue, p)
	if len(c.queue) >= c.maxBatch {
		c.flushLocked()
		return
	}
	c.scheduleFlush()
}

// close commits the queued writes and waits for the batches in flight. Writes that are submitted later fail.
func (c *committer) close() {
	c.mu.Lock()
	c.closed = true
	for len(c.queue) > 0 {
		c.startBatch()
	}
	c.mu.Unlock()
	c.workers.Wait()
}

// recordArrival updates the moving average of the time between arrivals.
func (c *committer) recordArrival(now time.Time) {
	gap := min(now.Sub(c.lastArrival), maxGapFactor*c.maxDelay)
	c.lastArrival = now
	c.averageGap += time.Duration(gapWeight * float64(gap-c.averageGap))
}

// scheduleFlush schedules the next flush. It flushes immediately if no other write is expected within the maximum
// delay.
func (c *committer) scheduleFlush() {
	if c.flushScheduled || len(c.queue) == 0 {
		return
	}
	if c.averageGap >= c.maxDelay {
		c.flushLocked()
		return
	}
	c.flushScheduled = true
	time.AfterFunc(min(c.maxDelay, targetBatchWrites*c.averageGap), c.flush)
}

func (c *committer) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushScheduled = false
	c.flushLocked()
}

func (c *committer) flushLocked() {
	for len(c.queue) > 0 && c.inFlight < maxInFlightBatches {
		c.startBatch()
		if len(c.queue) < c.maxBatch {
			break
		}
	}
	if c.inFlight < maxInFlightBatches {
		c.scheduleFlush()
	}
}

// startBatch starts to commit the oldest writes that fit into a batch.
func (c *committer) startBatch() {
	batch := c.nextBatch()
	c.inFlight++
	c.workers.Go(func() { c.runBatch(batch) })
}

func (c *committer) runBatch(batch []*pendingWrite) {
	c.commitBatch(batch)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if !c.flushScheduled && !c.closed {
		c.flushLocked()
	}
}

// nextBatch removes a batch from the queue. A second write to the same key is left for a later batch, because the store
// rejects a call that writes a key twice.
func (c *committer) nextBatch() []*pendingWrite {
	var batch, rest []*pendingWrite
	blocked := make(map[string]bool)
	size := 0
	for _, p := range c.queue {
		full := len(batch) >= c.maxBatch || len(batch) > 0 && size+p.bytes > maxBatchBytes
		if full || blocked[p.key] {
			rest = append(rest, p)
			// A later write to the key must not overtake a write that is left in the queue.
			blocked[p.key] = true
			continue
		}
		blocked[p.key] = true
		size += p.bytes
		batch = append(batch, p)
	}
	c.queue = rest
	return batch
}

// commitBatch commits the batch. After a lost reply it sends the same writes again. If the first call took effect, the
// conditions of the writes fail, and the values read on failure show who wrote them.
func (c *committer) commitBatch(batch []*pendingWrite) {
	c.scope.Counter("writes").Inc(int64(len(batch)))
	retried := false
	var err error
	for range maxCommitAttempts {
		var results []kvstore.WriteResult
		results, err = c.commitOnce(batch)
		c.scope.Counter("commits").Inc(1)
		if err == nil {
			for i, p := range batch {
				p.done <- writeOutcome{result: results[i], retried: retried}
			}
			return
		}
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			c.leases.reset()
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

func (c *committer) commitOnce(batch []*pendingWrite) ([]kvstore.WriteResult, error) {
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
			// This attempt has not sent any write of the batch.
			return nil, errors.Wrap(kvstore.ErrUnavailable, err.Error())
		}
		put := p.write.Puts[0]
		put.Lease = id
		writes[i].Puts = []kvstore.Put{put}
	}
	return c.store.Commit(ctx, writes)
}
