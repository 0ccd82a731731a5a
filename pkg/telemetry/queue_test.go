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

func testQueue(out io.Writer) (*lineQueue, *time.Time) {
	now := time.Unix(1000, 0)
	return newLineQueue(out, func() time.Time { return now }), &now
}

// Guards against a log reader that is stuck holding up whoever logs, and against its memory growing without bound.
func TestStuckReaderCostsLinesOnly(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	queue, _ := testQueue(writer)
	for range 10 * queuedLines {
		queue.add([]byte("x\n"), true)
	}
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.lines) > queuedLines {
		t.Fatalf("%d lines wait, bound is %d", len(queue.lines), queuedLines)
	}
	if queue.dropped == 0 {
		t.Fatal("no line was dropped")
	}
}

// Guards against lines about failures being lost to a flood of routine lines.
func TestRoutineLinesAreDroppedFirst(t *testing.T) {
	var out bytes.Buffer
	queue, now := testQueue(&out)
	for range 10 * linesBurst {
		queue.add([]byte("routine\n"), false)
	}
	queue.add([]byte("failure\n"), true)
	*now = now.Add(dropNoticeInterval)
	queue.add([]byte("later\n"), true)
	queue.sync(time.Minute)
	if n := strings.Count(out.String(), "routine"); n > linesBurst {
		t.Errorf("%d routine lines, bound is %d", n, linesBurst)
	}
	for _, want := range []string{"failure", "later", "log lines dropped"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing", want)
		}
	}
}

// Guards against fields that a derived logger added being lost or shared between loggers.
func TestQueuedCoreKeepsFields(t *testing.T) {
	var out bytes.Buffer
	queue, _ := testQueue(&out)
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
