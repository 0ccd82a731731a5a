package retry

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a faulty endpoint that keeps calls away for ever or breaks the reader of its Retry-After header.
func TestRetryAfterIsBounded(t *testing.T) {
	now := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		value   string
		want    time.Duration
		bounded bool
		invalid bool
	}{
		{value: "2", want: 2 * time.Second},
		{value: " 0.25 ", want: 250 * time.Millisecond},
		{value: "0"},
		{value: "60", want: time.Minute},
		{value: "61", want: time.Minute, bounded: true},
		{value: "1e300", want: time.Minute, bounded: true},
		{value: "1e999", want: time.Minute, bounded: true},
		{value: "Inf", want: time.Minute, bounded: true},
		{value: "99999999999999999999", want: time.Minute, bounded: true},
		{value: "Sat, 05 Dec 2026 10:00:03 GMT", want: 3 * time.Second},
		{value: "Sat, 05 Dec 2026 09:00:00 GMT"},
		{value: "Sat, 05 Dec 2099 10:00:00 GMT", want: time.Minute, bounded: true},
		{value: "-3", invalid: true},
		{value: "-1e999", invalid: true},
		{value: "NaN", invalid: true},
		{value: "", invalid: true},
		{value: "soon", invalid: true},
	} {
		got, err := ParseAfter(c.value, now)
		if got != c.want || errors.Is(err, ErrAfterBounded) != c.bounded || (err != nil) != (c.bounded || c.invalid) {
			t.Errorf("%q: %v, %v", c.value, got, err)
		}
	}
}
