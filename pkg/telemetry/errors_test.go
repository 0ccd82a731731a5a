package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Guards against stack traces in warnings about expected failures, and against entries at the error level without one.
func TestStackTracesOnlyAtErrorLevel(t *testing.T) {
	var out bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), zapcore.AddSync(&out), zapcore.InfoLevel)
	log := zap.New(stacklessCore{Core: core}).With(zap.String("instance", "i1"))
	failure := errors.New("peer does not answer")

	log.Warn("expected", zap.Error(failure))
	if line := out.String(); strings.Contains(line, "errorVerbose") || !strings.Contains(line, `"error":"peer does not answer"`) {
		t.Fatalf("warning is %s", line)
	}
	out.Reset()
	log.Error("unexpected", zap.Error(failure))
	if line := out.String(); !strings.Contains(line, "errorVerbose") || !strings.Contains(line, `"instance":"i1"`) {
		t.Fatalf("error is %s", line)
	}
	out.Reset()
	log.Debug("below the level", zap.Error(failure))
	if out.Len() != 0 {
		t.Fatalf("debug line was written: %s", out.String())
	}
}
