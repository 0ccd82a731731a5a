package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newTestQueue returns a queue and the time of its clock, which the test can change.
func newTestQueue(out io.Writer) (*lineQueue, *time.Time) {
	now := time.Unix(1000, 0)
	return newLineQueue(out, func() time.Time { return now }), &now
}

// Guards against a stuck log reader that blocks the goroutines that log, and against an unbounded queue.
func TestStuckReaderOnlyDropsLines(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	queue, _ := newTestQueue(writer)
	for range 10 * maxQueuedLines {
		queue.add([]byte("x\n"), true)
	}
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.lines) > maxQueuedLines {
		t.Fatalf("%d lines are queued, the limit is %d", len(queue.lines), maxQueuedLines)
	}
	if queue.dropped == 0 {
		t.Fatal("no line was dropped")
	}
}

// Guards against dropping lines about failures because of a burst of routine lines.
func TestRoutineLinesAreDroppedFirst(t *testing.T) {
	var out bytes.Buffer
	queue, now := newTestQueue(&out)
	for range 10 * routineLineBurst {
		queue.add([]byte("routine\n"), false)
	}
	queue.add([]byte("failure\n"), true)
	*now = now.Add(minDropNoticeInterval)
	queue.add([]byte("later\n"), true)
	queue.flush(time.Minute)
	if n := strings.Count(out.String(), "routine"); n > routineLineBurst {
		t.Errorf("%d routine lines were written, the limit is %d", n, routineLineBurst)
	}
	for _, want := range []string{"failure", "later", "log lines dropped"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing", want)
		}
	}
}

// Guards against fields of a derived logger that are lost or shared with other loggers.
func TestQueuedCoreKeepsFields(t *testing.T) {
	var out bytes.Buffer
	queue, _ := newTestQueue(&out)
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"})
	log := zap.New(queuedCore{LevelEnabler: zapcore.InfoLevel, encoder: encoder, queue: queue})
	log.With(zap.String("request", "r1")).Info("routed", zap.Int("n", 1))
	log.Info("plain")
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	want := `{"msg":"routed","request":"r1","n":1}` + "\n" + `{"msg":"plain"}` + "\n"
	if out.String() != want {
		t.Fatalf("log is %q, want %q", out.String(), want)
	}
}

func BenchmarkQueuedLine(b *testing.B) {
	queue := newLineQueue(io.Discard, time.Now)
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log := zap.New(queuedCore{LevelEnabler: zapcore.InfoLevel, encoder: encoder, queue: queue})
	for b.Loop() {
		log.Info("routed", zap.String("endpoint", "i-1"), zap.Duration("expected", time.Second), zap.Int("waiting", 3))
	}
}
