package httpconn

import (
	"testing"
	"time"
)

// Guards against a sound endpoint that is left out because this process had no processor time while it connected, and
// against a second wait for an endpoint that is unreachable.
func TestOnlyALateTimeOutIsNoFailureOfTheEndpoint(t *testing.T) {
	const timeout = 500 * time.Millisecond
	for _, test := range []struct {
		name string
		took time.Duration
		want bool
	}{
		{"refused at once", time.Millisecond, false},
		{"timed out in time", timeout, false},
		{"timed out a little late", 550 * time.Millisecond, false},
		{"timed out after a pause of the process", 690 * time.Millisecond, true},
	} {
		if got := timedOutLate(test.took, timeout); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
