package edge

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
)

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second,
}

// metrics are the metrics of an instance. None is labelled by model or endpoint, so that the number of time series does
// not grow with the deployment.
type metrics struct {
	// answered, refused, failed, broken and clientsLeft count requests by how they ended.
	answered    tally.Counter
	refused     tally.Counter
	failed      tally.Counter
	broken      tally.Counter
	clientsLeft tally.Counter
	// sends counts sends that may have reached an endpoint, repeats those after the first one of a request.
	sends   tally.Counter
	repeats tally.Counter
	// resumed counts attempts to continue a stream at another endpoint.
	resumed tally.Counter
	// takeUps count streams that clients take up, by how their version is known.
	takeUps takeUpMetrics
	// responseTime is the time from a request's arrival to its end, firstEventTime from the send to the first event.
	responseTime   tally.Histogram
	firstEventTime tally.Histogram
	// storeOutages counts the times that the store was lost, storeFailures the failed calls to follow it.
	storeOutages  tally.Counter
	storeFailures tally.Counter
	// viewAge is the time since the view of the store was last known to be complete.
	viewAge tally.Gauge
	// exchangeBytes counts the bytes of datagrams to other instances.
	exchangeBytes exchangeMetrics
	// storeRestores counts restores of the store from an older copy.
	storeRestores tally.Counter
	// ledgerCorrections counts reports of endpoints that hold other models or adapters than their ledgers listed.
	ledgerCorrections tally.Counter
	// quarantines counts prompt parts put in quarantine.
	quarantines tally.Counter
	// limitsLowered and limitsRaised count changes of learned limits of endpoints' concurrent calls, limitsInEffect the
	// plain endpoints whose limit is below their slots.
	limitsLowered   tally.Counter
	limitsRaised    tally.Counter
	limitsInEffect  tally.Gauge
	configVersion   tally.Gauge
	usableEndpoints tally.Gauge
	access          accessMetrics
	fairQueue       fairQueueMetrics
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	requests := func(end string) tally.Counter {
		return scope.Tagged(map[string]string{"end": end}).Counter("requests")
	}
	limitChanges := func(direction string) tally.Counter {
		return scope.Tagged(map[string]string{"direction": direction}).Counter("endpoint_limit_changes")
	}
	return &metrics{
		answered:          requests("answered"),
		refused:           requests("refused"),
		failed:            requests("failed"),
		broken:            requests("broken_off"),
		clientsLeft:       requests("client_left"),
		sends:             scope.Counter("sends"),
		repeats:           scope.Counter("repeated_sends"),
		resumed:           scope.Counter("resumed_streams"),
		takeUps:           newTakeUpMetrics(scope),
		responseTime:      scope.Histogram("response_seconds", latencyBuckets),
		firstEventTime:    scope.Histogram("first_event_seconds", latencyBuckets),
		storeOutages:      scope.Counter("store_lost"),
		storeFailures:     scope.Counter("store_failures"),
		viewAge:           scope.Gauge("store_view_age_seconds"),
		quarantines:       scope.Counter("quarantined_prompt_parts"),
		limitsLowered:     limitChanges("lowered"),
		limitsRaised:      limitChanges("raised"),
		limitsInEffect:    scope.Gauge("limited_endpoints"),
		configVersion:     scope.Gauge("configuration_version"),
		usableEndpoints:   scope.Gauge("usable_endpoints"),
		access:            newAccessMetrics(scope),
		fairQueue:         newFairQueueMetrics(scope),
		exchangeBytes:     newExchangeMetrics(scope),
		storeRestores:     scope.Counter("store_restored"),
		ledgerCorrections: scope.Counter("ledger_corrections"),
	}
}

// exchangeMetrics has a counter for each reason of a message, for recipients in this instance's region and in others.
type exchangeMetrics struct {
	sameRegion, otherRegion map[exchange.Reason]tally.Counter
}

func newExchangeMetrics(scope tally.Scope) exchangeMetrics {
	m := exchangeMetrics{sameRegion: make(map[exchange.Reason]tally.Counter), otherRegion: make(map[exchange.Reason]tally.Counter)}
	for _, reason := range exchange.Reasons {
		counter := func(region string) tally.Counter {
			return scope.Tagged(map[string]string{"reason": reason.String(), "region": region}).Counter("exchange_sent_bytes")
		}
		m.sameRegion[reason], m.otherRegion[reason] = counter("same"), counter("other")
	}
	return m
}

func (m *exchangeMetrics) recordSent(to exchange.Peer, reason exchange.Reason, bytes int) {
	counters := m.otherRegion
	if to.SameRegion {
		counters = m.sameRegion
	}
	counters[reason].Inc(int64(bytes))
}

// takeUpMetrics count take-ups whose version was known from a record, because there is only one, or not at all.
type takeUpMetrics struct {
	recorded, only, unknown tally.Counter
}

func newTakeUpMetrics(scope tally.Scope) takeUpMetrics {
	counter := func(version string) tally.Counter {
		return scope.Tagged(map[string]string{"version": version}).Counter("stream_take_ups")
	}
	return takeUpMetrics{recorded: counter("recorded"), only: counter("only"), unknown: counter("unknown")}
}
