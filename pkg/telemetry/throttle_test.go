package telemetry

import (
	"testing"
	"time"
)

// Guards against a flood of events that fills the log, and against events that no line counts.
func TestThrottleLogsOneEventOfAKindInAnInterval(t *testing.T) {
	throttle := NewThrottle(time.Second)
	now := time.Unix(100, 0)
	for event := range 5 {
		if _, allowed := throttle.Allow("a", now); allowed != (event == 0) {
			t.Errorf("event %d: allowed is %t", event, allowed)
		}
	}
	if _, allowed := throttle.Allow("b", now); !allowed {
		t.Error("an event of another kind is not logged")
	}
	if unlogged, allowed := throttle.Allow("a", now.Add(time.Second)); !allowed || unlogged != 4 {
		t.Errorf("after the interval: allowed is %t, %d unlogged", allowed, unlogged)
	}
}
