package edge

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/residency"
)

const (
	// shortDecayTime and longDecayTime are the time constants of the moving sums of demand. The difference of the sums
	// shows a trend.
	shortDecayTime = 1500 * time.Millisecond
	longDecayTime  = 5 * time.Second
	// trendExtrapolation is the factor that extrapolates the difference of the two sums over the time that it takes to
	// load weights.
	trendExtrapolation = 2.0
	// minTrendDeviations is the number of standard deviations by which the two rates must differ for their difference
	// to count as a trend.
	minTrendDeviations = 1.5
	// decodeTimePerToken is the engine time of one generated token when a dozen requests share a batch.
	decodeTimePerToken = 800 * time.Microsecond
	// minRequestRate is the request rate, per second, below which demand is no longer reported.
	minRequestRate = 0.01
	// remoteDemandMaxAge is the age at which the demand of another instance is dropped.
	remoteDemandMaxAge = 3 * time.Second
	// adapterRetention is how long an unused adapter is kept in the statistics.
	adapterRetention = 20 * time.Second
	// adapterReportAge is the age up to which the last use of an adapter is reported to the instance that places
	// models. It exceeds the time between two regular messages to a peer in the same region for up to 112 peers, and in
	// another region for up to 22. With more peers that time grows up to 2 s (package exchange), and a use early in
	// that time is not reported.
	adapterReportAge = 1500 * time.Millisecond
)

type modelKey struct {
	service string
	model   string
}

type adapterKey struct {
	modelKey
	adapter string
}

// decayingRate is an exponentially decaying sum that estimates a rate per second.
type decayingRate struct {
	decayTime time.Duration
	// countingSince is when counting began. The rate before that is unknown and does not count as zero.
	countingSince time.Time
	sum           float64
	updatedAt     time.Time
}

func (r *decayingRate) add(x float64, now time.Time) {
	r.sum = r.decayedSum(now) + x
	r.updatedAt = now
}

func (r *decayingRate) decayedSum(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds()/r.decayTime.Seconds())
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	countedFraction := 1 - math.Exp(-max(now.Sub(r.countingSince), time.Second).Seconds()/r.decayTime.Seconds())
	return r.decayedSum(now) / r.decayTime.Seconds() / countedFraction
}

type modelStats struct {
	shortTermLoad decayingRate
	longTermLoad  decayingRate
	requestRate   decayingRate
	waiting       int
}

type adapterStats struct {
	lastUse time.Time
	waiting int
	// requests counts the requests in progress.
	requests int
}

// idleFor returns the time since the last use; an adapter is in use until the last request for it has ended.
func (s *adapterStats) idleFor(now time.Time) time.Duration {
	if s.requests > 0 {
		return 0
	}
	return now.Sub(s.lastUse)
}

// remoteDemand is the demand that another instance reported last.
type remoteDemand struct {
	region     string
	models     []exchange.ModelDoc
	adapters   []exchange.AdapterDoc
	receivedAt time.Time
}

// mergeWaiting applies an update that lists only models and adapters with waiting requests. The others stay unchanged.
func (d *remoteDemand) mergeWaiting(update *remoteDemand) {
	d.region, d.receivedAt = update.region, update.receivedAt
	d.models = mergeDocs(d.models, update.models, func(a, b *exchange.ModelDoc) bool {
		return a.Service == b.Service && a.Model == b.Model
	})
	d.adapters = mergeDocs(d.adapters, update.adapters, func(a, b *exchange.AdapterDoc) bool {
		return a.Service == b.Service && a.Model == b.Model && a.Adapter == b.Adapter
	})
}

// mergeDocs returns the newer documents, and the previous ones about subjects that no newer document is about.
func mergeDocs[T any](previous, newer []T, sameSubject func(a, b *T) bool) []T {
	merged := slices.Clone(newer)
	for i := range previous {
		if !slices.ContainsFunc(newer, func(newerDoc T) bool { return sameSubject(&previous[i], &newerDoc) }) {
			merged = append(merged, previous[i])
		}
	}
	return merged
}

// demandTracker counts the demand of this instance's clients and stores the demand that other instances report. It
// implements residency.DemandSource.
type demandTracker struct {
	// region is the region of this instance.
	region string

	mu sync.Mutex
	// countingSince is the time of the first request.
	countingSince time.Time
	models        map[modelKey]*modelStats
	adapters      map[adapterKey]*adapterStats
	remoteDemand  map[string]remoteDemand
	// lastAdapterUse is when an adapter was last used at any instance.
	lastAdapterUse map[adapterKey]time.Time
}

var _ residency.DemandSource = (*demandTracker)(nil)

func newDemandTracker(region string) *demandTracker {
	return &demandTracker{
		region:         region,
		models:         make(map[modelKey]*modelStats),
		adapters:       make(map[adapterKey]*adapterStats),
		remoteDemand:   make(map[string]remoteDemand),
		lastAdapterUse: make(map[adapterKey]time.Time),
	}
}

// recordRequest counts a request; requests without a model are ignored.
func (t *demandTracker) recordRequest(service string, r *Request, speed fleet.EngineSpeed, now time.Time) {
	if r.Model == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.countingSince.IsZero() {
		t.countingSince = now
	}
	stats := t.modelStatsOf(modelKey{service, r.Model})
	stats.requestRate.add(1, now)
	stats.shortTermLoad.add(engineSeconds(r, speed), now)
	stats.longTermLoad.add(engineSeconds(r, speed), now)
}

// beginUse counts a request as using its adapter until done is called. Requests without an adapter are ignored.
func (t *demandTracker) beginUse(service string, r *Request, now time.Time) (done func(now time.Time)) {
	if r.Adapter == "" {
		return func(time.Time) {}
	}
	key := adapterKey{modelKey{service, r.Model}, r.Adapter}
	use := func(requests int, now time.Time) {
		t.mu.Lock()
		defer t.mu.Unlock()
		stats := t.adapterStatsOf(key)
		stats.requests += requests
		stats.lastUse, t.lastAdapterUse[key] = now, now
	}
	use(1, now)
	return func(now time.Time) { use(-1, now) }
}

// engineSeconds returns the estimated engine time of a request.
func engineSeconds(r *Request, speed fleet.EngineSpeed) float64 {
	output := cmp.Or(r.ExpectedOutput, r.OutputTokens)
	return float64(r.PromptTokens)/speed.PrefillPerMs/1000 + float64(output)*decodeTimePerToken.Seconds()
}

func (t *demandTracker) modelStatsOf(key modelKey) *modelStats {
	stats := t.models[key]
	if stats == nil {
		stats = &modelStats{
			shortTermLoad: decayingRate{decayTime: shortDecayTime, countingSince: t.countingSince},
			longTermLoad:  decayingRate{decayTime: longDecayTime, countingSince: t.countingSince},
			requestRate:   decayingRate{decayTime: longDecayTime, countingSince: t.countingSince},
		}
		t.models[key] = stats
	}
	return stats
}

func (t *demandTracker) adapterStatsOf(key adapterKey) *adapterStats {
	stats := t.adapters[key]
	if stats == nil {
		stats = &adapterStats{}
		t.adapters[key] = stats
	}
	return stats
}

// beginWait counts a request as waiting for its model or adapter until done is called.
func (t *demandTracker) beginWait(service string, r *Request, forAdapter bool) (done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := modelKey{service, r.Model}
	counter := &t.modelStatsOf(key).waiting
	if forAdapter {
		counter = &t.adapterStatsOf(adapterKey{key, r.Adapter}).waiting
	}
	*counter++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		*counter--
	}
}

// receive stores the demand of another instance. With waitingOnly, the update lists only demand with waiting requests.
func (t *demandTracker) receive(instance string, update remoteDemand, waitingOnly bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := update.receivedAt
	for _, a := range update.adapters {
		key := adapterKey{modelKey{a.Service, a.Model}, a.Adapter}
		if used := now.Add(-time.Duration(a.IdleMs) * time.Millisecond); used.After(t.lastAdapterUse[key]) {
			t.lastAdapterUse[key] = used
		}
	}
	if previous, known := t.remoteDemand[instance]; known && waitingOnly {
		previous.mergeWaiting(&update)
		update = previous
	}
	t.remoteDemand[instance] = update
}

// waitingDemand returns this instance's demand for the models and adapters for which requests are waiting.
func (t *demandTracker) waitingDemand(now time.Time) ([]exchange.ModelDoc, []exchange.AdapterDoc) {
	models, adapters := t.ownDemand(now)
	models = slices.DeleteFunc(models, func(m exchange.ModelDoc) bool { return m.Waiting == 0 })
	adapters = slices.DeleteFunc(adapters, func(a exchange.AdapterDoc) bool { return a.Waiting == 0 })
	return models, adapters
}

// ownDemand returns this instance's demand in the form in which it is sent. It drops statistics of models and adapters
// that are no longer in demand.
func (t *demandTracker) ownDemand(now time.Time) ([]exchange.ModelDoc, []exchange.AdapterDoc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var models []exchange.ModelDoc
	for key, stats := range t.models {
		requestRate := stats.requestRate.perSecond(now)
		if requestRate < minRequestRate && stats.waiting == 0 {
			delete(t.models, key)
			continue
		}
		models = append(models, exchange.ModelDoc{
			Service:       key.service,
			Model:         key.model,
			ShortTermLoad: round(stats.shortTermLoad.perSecond(now)),
			LongTermLoad:  round(stats.longTermLoad.perSecond(now)),
			RequestRate:   round(requestRate),
			Waiting:       stats.waiting,
		})
	}
	var adapters []exchange.AdapterDoc
	for key, stats := range t.adapters {
		idle := stats.idleFor(now)
		if idle > adapterRetention && stats.waiting == 0 {
			delete(t.adapters, key)
			continue
		}
		if idle > adapterReportAge && stats.waiting == 0 {
			continue
		}
		adapters = append(adapters, exchange.AdapterDoc{
			Service: key.service, Model: key.model, Adapter: key.adapter, Waiting: stats.waiting, Requests: stats.requests,
			IdleMs: idle.Milliseconds(),
		})
	}
	return models, adapters
}

// round rounds to three decimals, which keeps messages short.
func round(x float64) float64 {
	return math.Round(x*1000) / 1000
}

// forEachModel calls f with each model's demand at each instance. It drops demand of other instances that is too old.
func (t *demandTracker) forEachModel(now time.Time, f func(m exchange.ModelDoc, region string)) {
	models, _ := t.ownDemand(now)
	for _, m := range models {
		f(m, t.region)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for instance, r := range t.remoteDemand {
		if now.Sub(r.receivedAt) > remoteDemandMaxAge {
			delete(t.remoteDemand, instance)
			continue
		}
		for _, m := range r.models {
			f(m, r.region)
		}
	}
}

// ModelDemand implements residency.DemandSource.
func (t *demandTracker) ModelDemand(service string, now time.Time) map[string]residency.ModelDemand {
	total := make(map[string]residency.ModelDemand)
	t.forEachModel(now, func(m exchange.ModelDoc, region string) {
		if m.Service != service {
			return
		}
		d := total[m.Model]
		d.Load += m.LongTermLoad
		d.Forecast += m.ShortTermLoad
		d.RequestRate += m.RequestRate
		d.Waiting += m.Waiting
		if d.ByRegion == nil {
			d.ByRegion = make(map[string]float64)
		}
		d.ByRegion[region] += m.LongTermLoad
		total[m.Model] = d
	})
	for model, d := range total {
		d.Load, d.Forecast = estimateLoad(d.Forecast, d.Load, d.RequestRate)
		total[model] = d
	}
	return total
}

// estimateLoad derives the present load, and the load expected after the time that loading weights takes, from a
// short-term and a long-term average. A difference of the averages that may be due to chance, given the request rate,
// does not count as a trend.
func estimateLoad(shortTerm, longTerm, requestRate float64) (load, forecast float64) {
	perRequest := longTerm / max(requestRate, minRequestRate)
	deviation := perRequest * math.Sqrt(max(requestRate, minRequestRate)/(2*shortDecayTime.Seconds()))
	// A single request is never a trend.
	minTrend := max(minTrendDeviations*deviation, perRequest/shortDecayTime.Seconds())
	trend := shortTerm - longTerm
	switch {
	case trend > minTrend:
		return shortTerm, shortTerm + trendExtrapolation*(trend-deviation)
	case trend < -minTrend:
		return shortTerm, shortTerm
	default:
		return longTerm, longTerm
	}
}

// AdapterDemand implements residency.DemandSource.
func (t *demandTracker) AdapterDemand(service string, now time.Time) []residency.AdapterDemand {
	waiting := make(map[adapterKey]int)
	_, ownDemand := t.ownDemand(now)
	for _, a := range ownDemand {
		addWaiting(waiting, service, &a)
	}
	t.mu.Lock()
	for _, r := range t.remoteDemand {
		for i := range r.adapters {
			addWaiting(waiting, service, &r.adapters[i])
		}
	}
	t.mu.Unlock()
	waitingAdapters := make([]residency.AdapterDemand, 0, len(waiting))
	for key, n := range waiting {
		waitingAdapters = append(waitingAdapters, residency.AdapterDemand{Model: key.model, Adapter: key.adapter, Waiting: n})
	}
	slices.SortFunc(waitingAdapters, func(a, b residency.AdapterDemand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return waitingAdapters
}

func addWaiting(waiting map[adapterKey]int, service string, a *exchange.AdapterDoc) {
	if a.Service == service && a.Waiting > 0 {
		waiting[adapterKey{modelKey{service, a.Model}, a.Adapter}] += a.Waiting
	}
}

// AdapterUse implements residency.DemandSource.
func (t *demandTracker) AdapterUse(service string, now time.Time) map[residency.AdapterKey]residency.AdapterUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := make(map[residency.AdapterKey]residency.AdapterUse)
	for key, lastUse := range t.lastAdapterUse {
		if key.service == service {
			uses[residency.AdapterKey{Model: key.model, Adapter: key.adapter}] = residency.AdapterUse{LastUse: lastUse}
		}
	}
	addRequests := func(model, adapter string, requests int) {
		if requests == 0 {
			return
		}
		key := residency.AdapterKey{Model: model, Adapter: adapter}
		use := uses[key]
		use.Requests += requests
		uses[key] = use
	}
	for key, stats := range t.adapters {
		if key.service == service {
			addRequests(key.model, key.adapter, stats.requests)
		}
	}
	for _, r := range t.remoteDemand {
		if now.Sub(r.receivedAt) > remoteDemandMaxAge {
			continue
		}
		for i := range r.adapters {
			if a := &r.adapters[i]; a.Service == service {
				addRequests(a.Model, a.Adapter, a.Requests)
			}
		}
	}
	return uses
}
