package daemon

import (
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/demand"
	"github.com/mulberryglade/mulberryglade/pkg/placement"
)

// rateWindowLength is the time over which the rates in operators' queries are averaged.
const rateWindowLength = 10 * time.Second

// rateWindow has the request rates of the last complete window. It is safe for concurrent use.
type rateWindow struct {
	mu        sync.Mutex
	startedAt time.Time
	// counts are the totals at startedAt; nil before the first call of observe.
	counts map[string]uint64
	rates  map[string]float64
}

// observe computes the rates from the cumulative totals when the window has ended; otherwise it does nothing.
func (w *rateWindow) observe(totals []demand.Count, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	elapsed := now.Sub(w.startedAt)
	if elapsed < rateWindowLength {
		return
	}
	counts := make(map[string]uint64, len(totals))
	rates := make(map[string]float64, len(totals))
	for _, c := range totals {
		counts[c.Model] = c.Requests
		rates[c.Model] = float64(c.Requests-w.counts[c.Model]) / elapsed.Seconds()
	}
	if w.counts == nil {
		rates = nil
	}
	w.startedAt = now
	w.counts = counts
	w.rates = rates
}

// current returns the requests per second of each model and adapter.
func (w *rateWindow) current() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rates
}

// rateMeter computes arrival rates from cumulative counts. A rate covers the time since the last call of Demand; each
// placement shard has its own meter, so that shards do not shorten each other's interval. It is not safe for concurrent
// use.
type rateMeter struct {
	totals func() []demand.Count
	now    func() time.Time
	// shards returns the number of placement shards, among which the demand of the data centre is divided.
	shards func() int

	lastCounts   map[string]demand.Count
	lastCalledAt time.Time
}

func newRateMeter(totals func() []demand.Count, now func() time.Time, shards func() int) *rateMeter {
	return &rateMeter{totals: totals, now: now, shards: shards}
}

// Demand returns the rates since the last call and the numbers of waiting calls. The first call returns no rates.
func (m *rateMeter) Demand() []placement.Demand {
	counts := m.totals()
	calledAt := m.now()
	elapsed := calledAt.Sub(m.lastCalledAt).Seconds()
	divisor := elapsed * float64(max(1, m.shards()))
	current := make(map[string]demand.Count, len(counts))
	rates := make([]placement.Demand, 0, len(counts))
	for _, c := range counts {
		current[c.Model] = c
		rate := placement.Demand{Model: c.Model, Waiting: c.Waiting}
		if last, known := m.lastCounts[c.Model]; known && divisor > 0 {
			rate.RequestsPerSecond = float64(c.Requests-last.Requests) / divisor
			rate.TokensPerSecond = float64(c.Tokens-last.Tokens) / divisor
		}
		rates = append(rates, rate)
	}
	m.lastCounts = current
	m.lastCalledAt = calledAt
	return rates
}
