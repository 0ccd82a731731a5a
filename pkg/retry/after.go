package retry

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxAfter bounds the time that ParseAfter returns, so that a faulty value does not take an endpoint out of use for long.
const MaxAfter = time.Minute

// ErrAfterBounded means that the time of a Retry-After header was longer than MaxAfter.
var ErrAfterBounded = errors.New("Retry-After exceeds the bound")

// ParseAfter returns the time of a Retry-After header from now on: a number of seconds, which may have a fraction, or a
// date. A date in the past is zero. Errors: ErrAfterBounded, with MaxAfter as the time; any other error, with zero, means
// that the value is neither or negative.
func ParseAfter(value string, now time.Time) (time.Duration, error) {
	value = strings.TrimSpace(value)
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		date, dateErr := http.ParseTime(value)
		if dateErr != nil {
			return 0, errors.Newf("Retry-After %.40q is neither a number of seconds nor a date", value)
		}
		seconds = max(date.Sub(now).Seconds(), 0)
	}
	switch {
	case math.IsNaN(seconds) || seconds < 0:
		return 0, errors.Newf("Retry-After %.40q is not a time", value)
	case seconds > MaxAfter.Seconds():
		return MaxAfter, errors.Wrapf(ErrAfterBounded, "%.40q", value)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
