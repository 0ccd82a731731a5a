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
	// linesPerSecond and linesBurst bound the volume of a process's log. A request takes some three lines of 300 bytes.
	linesPerSecond = 300
	linesBurst     = 900
	// queuedLines bounds the lines that wait for a slow reader; urgentLines of them are kept for warnings and errors.
	queuedLines = 1024
	urgentLines = 256
	// dropNoticeInterval is the least time between two lines that tell how many were dropped.
	dropNoticeInterval = time.Second
)

// lineQueue writes log lines from a goroutine of its own, so that a reader that is slow or stuck costs log lines only.
// Lines below the warning level are dropped first.
type lineQueue struct {
	out     io.Writer
	limiter *rate.Limiter
	now     func() time.Time

	mu      sync.Mutex
	wake    *sync.Cond
	lines   [][]byte
	dropped int64
	noticed time.Time
	writing bool
}

func newLineQueue(out io.Writer, now func() time.Time) *lineQueue {
	q := &lineQueue{out: out, limiter: rate.NewLimiter(linesPerSecond, linesBurst), now: now}
	q.wake = sync.NewCond(&q.mu)
	go q.run()
	return q
}

// add queues a line or drops it. It never waits for the reader.
func (q *lineQueue) add(line []byte, urgent bool) {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := queuedLines
	if !urgent {
		limit -= urgentLines
	}
	allowed := urgent || q.limiter.AllowN(now, 1)
	if !allowed || len(q.lines) >= limit {
		q.dropped++
		return
	}
	if q.dropped > 0 && now.Sub(q.noticed) >= dropNoticeInterval {
		notice := fmt.Sprintf(`{"level":"warn","ts":%q,"msg":"log lines dropped","lines":%d}`+"\n",
			now.Format(time.RFC3339Nano), q.dropped)
		q.lines = append(q.lines, []byte(notice))
		q.dropped, q.noticed = 0, now
	}
	q.lines = append(q.lines, line)
	q.wake.Broadcast()
}

// run writes queued lines until the process ends. A write error loses the lines: there is nowhere to report it.
func (q *lineQueue) run() {
	for {
		batch := q.take()
		for _, line := range batch {
			_, _ = q.out.Write(line)
		}
		q.mu.Lock()
		q.writing = false
		q.wake.Broadcast()
		q.mu.Unlock()
	}
}

func (q *lineQueue) take() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.lines) == 0 {
		q.wake.Wait()
	}
	batch := q.lines
	q.lines = nil
	q.writing = true
	return batch
}

// sync waits until the queued lines are written, at most for the timeout.
func (q *lineQueue) sync(timeout time.Duration) {
	expired := time.AfterFunc(timeout, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.writing, q.lines = false, nil
		q.wake.Broadcast()
	})
	defer expired.Stop()
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.writing || len(q.lines) > 0 {
		q.wake.Wait()
	}
}

// queuedCore encodes entries and hands them to a lineQueue.
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

// syncTimeout bounds the wait for a stuck reader at the end of the process.
const syncTimeout = 200 * time.Millisecond

// Sync implements zapcore.Core.
func (c queuedCore) Sync() error {
	c.queue.sync(syncTimeout)
	return nil
}
