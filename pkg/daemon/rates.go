package daemon

import (
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/demand"
	"github.com/mulberryglade/mulberryglade/pkg/placement"
)

// rateWindowTime is the time over which the rates of the operators' queries are averaged.
const rateWindowTime = 10 * time.Second

// rateWindow keeps the request rates of the last complete window. It is safe for concurrent use.
type rateWindow struct {
	mu      sync.Mutex
	started time.Time
	counts  map[string]uint64
	rates   map[string]float64
}

// observe takes the totals; at the end of a window it computes the rates.
func (w *rateWindow) observe(totals []demand.Count, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	elapsed := now.Sub(w.started)
	if elapsed < rateWindowTime {
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
	w.started = now
	w.counts = counts
	w.rates = rates
}

// current returns requests per second by model or adapter.
func (w *rateWindow) current() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rates
}

// rateMeter turns cumulative arrivals into rates between two calls. Each placement shard has its own, so that shards do
// not shorten each other's interval. It is not safe for concurrent use.
type rateMeter struct {
	total func() []demand.Count
	now   func() time.Time
	// shards divides the demand of the data centre.
	shards func() int

	last   map[string]demand.Count
	lastAt time.Time
}

func newRateMeter(total func() []demand.Count, now func() time.Time, shards func() int) *rateMeter {
	return &rateMeter{total: total, now: now, shards: shards}
}

// Demand returns the rates since the last call; the first call has no rates, only waiting calls.
func (m *rateMeter) Demand() []placement.Demand {
	counts := m.total()
	at := m.now()
	elapsed := at.Sub(m.lastAt).Seconds()
	divisor := elapsed * float64(max(1, m.shards()))
	current := make(map[string]demand.Count, len(counts))
	rates := make([]placement.Demand, 0, len(counts))
	for _, c := range counts {
		current[c.Model] = c
		rate := placement.Demand{Model: c.Model, Waiting: c.Waiting}
		if before, known := m.last[c.Model]; known && divisor > 0 {
			rate.RequestsPerSecond = float64(c.Requests-before.Requests) / divisor
			rate.TokensPerSecond = float64(c.Tokens-before.Tokens) / divisor
		}
		rates = append(rates, rate)
	}
	m.last = current
	m.lastAt = at
	return rates
}
