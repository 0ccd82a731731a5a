package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// routineLinesPerSecond and routineLineBurst bound the volume of a process's log: they limit the lines below the
	// warning level. A request writes about three lines of 300 bytes.
	routineLinesPerSecond = 300
	routineLineBurst      = 900
	// maxQueuedLines bounds the queue for a slow reader. urgentLineReserve of these lines are reserved for warnings and
	// errors.
	maxQueuedLines    = 1024
	urgentLineReserve = 256
	// minDropNoticeInterval is the minimum time between two lines that report the number of dropped lines.
	minDropNoticeInterval = time.Second
)

// lineQueue writes log lines in a separate goroutine, so that a slow or stuck reader only causes dropped lines and does
// not block the process. Lines below the warning level are dropped first.
type lineQueue struct {
	out     io.Writer
	limiter *rate.Limiter
	now     func() time.Time

	mu sync.Mutex
	// changed is signalled when a line is added, when a batch has been written, and when flush drops the queued lines.
	changed        *sync.Cond
	lines          [][]byte
	dropped        int64
	lastDropNotice time.Time
	writing        bool
}

func newLineQueue(out io.Writer, now func() time.Time) *lineQueue {
	q := &lineQueue{out: out, limiter: rate.NewLimiter(routineLinesPerSecond, routineLineBurst), now: now}
	q.changed = sync.NewCond(&q.mu)
	go q.run()
	return q
}

// add queues a line or drops it. It never waits for the reader.
func (q *lineQueue) add(line []byte, urgent bool) {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := maxQueuedLines
	if !urgent {
		limit -= urgentLineReserve
	}
	allowed := urgent || q.limiter.AllowN(now, 1)
	if !allowed || len(q.lines) >= limit {
		q.dropped++
		return
	}
	if q.dropped > 0 && now.Sub(q.lastDropNotice) >= minDropNoticeInterval {
		notice := fmt.Sprintf(`{"level":"warn","ts":%q,"msg":"log lines dropped","lines":%d}`+"\n",
			now.Format(time.RFC3339Nano), q.dropped)
		q.lines = append(q.lines, []byte(notice))
		q.dropped, q.lastDropNotice = 0, now
	}
	q.lines = append(q.lines, line)
	q.changed.Broadcast()
}

// run writes queued lines until the process ends. A write error loses the line, because there is nowhere to report it.
func (q *lineQueue) run() {
	for {
		batch := q.nextBatch()
		for _, line := range batch {
			_, _ = q.out.Write(line)
		}
		q.mu.Lock()
		q.writing = false
		q.changed.Broadcast()
		q.mu.Unlock()
	}
}

// nextBatch waits for queued lines and removes them from the queue.
func (q *lineQueue) nextBatch() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.lines) == 0 {
		q.changed.Wait()
	}
	batch := q.lines
	q.lines = nil
	q.writing = true
	return batch
}

// flush waits until the queued lines are written. After the timeout it drops the remaining lines.
func (q *lineQueue) flush(timeout time.Duration) {
	timer := time.AfterFunc(timeout, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.writing, q.lines = false, nil
		q.changed.Broadcast()
	})
	defer timer.Stop()
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.writing || len(q.lines) > 0 {
		q.changed.Wait()
	}
}

// queuedCore encodes entries and adds them to a lineQueue.
type queuedCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	queue   *lineQueue
}

// With implements zapcore.Core.
func (c queuedCore) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return queuedCore{LevelEnabler: c.LevelEnabler, encoder: encoder, queue: c.queue}
}

// Check implements zapcore.Core.
func (c queuedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c queuedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	buffer, err := c.encoder.EncodeEntry(entry, fields)
	if err != nil {
		return err
	}
	line := append([]byte(nil), buffer.Bytes()...)
	buffer.Free()
	c.queue.add(line, entry.Level >= zapcore.WarnLevel)
	return nil
}

// syncTimeout bounds how long a stuck reader delays the end of the process.
const syncTimeout = 200 * time.Millisecond

// Sync implements zapcore.Core.
func (c queuedCore) Sync() error {
	c.queue.flush(syncTimeout)
	return nil
}
