package edge

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second,
}

// metrics are the counters and histograms of an instance. None is labelled by model or endpoint, so that their number
// does not grow with the deployment.
type metrics struct {
	// answered, refused, failed, broken and left count requests by their end.
	answered tally.Counter
	refused  tally.Counter
	failed   tally.Counter
	broken   tally.Counter
	left     tally.Counter
	// sends count requests handed to endpoints, repeats those after the first.
	sends   tally.Counter
	repeats tally.Counter
	// resumed counts streams that were continued at another endpoint.
	resumed tally.Counter
	// response is the time from a request's arrival to its whole answer, firstEvent from the send to the first event.
	response      tally.Histogram
	firstEvent    tally.Histogram
	storeLost     tally.Counter
	configVersion tally.Gauge
	endpoints     tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	requests := func(end string) tally.Counter {
		return scope.Tagged(map[string]string{"end": end}).Counter("requests")
	}
	return &metrics{
		answered:      requests("answered"),
		refused:       requests("refused"),
		failed:        requests("failed"),
		broken:        requests("broken_off"),
		left:          requests("client_left"),
		sends:         scope.Counter("sends"),
		repeats:       scope.Counter("repeated_sends"),
		resumed:       scope.Counter("resumed_streams"),
		response:      scope.Histogram("response_seconds", latencyBuckets),
		firstEvent:    scope.Histogram("first_event_seconds", latencyBuckets),
		storeLost:     scope.Counter("store_lost"),
		configVersion: scope.Gauge("configuration_version"),
		endpoints:     scope.Gauge("usable_endpoints"),
	}
}
