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
	// fastMemory and slowMemory are the time constants of the demand's moving sums. Their difference shows a trend.
	fastMemory = 1500 * time.Millisecond
	slowMemory = 5 * time.Second
	// trendReach extrapolates the difference of the two sums over the time that a load of weights takes.
	trendReach = 2.0
	// trendNoise is the number of standard deviations by which the rates must differ to count as a trend.
	trendNoise = 1.5
	// decodeShare is the engine time of one generated token when a dozen requests share a batch.
	decodeShare = 800 * time.Microsecond
	// negligible demand is no longer told.
	negligible = 0.01
	// remoteDemandAge is the age at which another instance's demand no longer counts.
	remoteDemandAge = 3 * time.Second
	// adapterMemory is how long an adapter that is not used is remembered.
	adapterMemory = 20 * time.Second
	// adapterNews is the age up to which the last use of an adapter is told to the instance that places models; it exceeds
	// the longest time between two messages.
	adapterNews = 1500 * time.Millisecond
)

type modelKey struct {
	service string
	model   string
}

type adapterKey struct {
	modelKey
	adapter string
}

// decayingRate is a rate per second over the recent past: a sum whose terms fade with a time constant.
type decayingRate struct {
	memory time.Duration
	// since is when counting began; until then nothing is known, which is not the same as nothing having happened.
	since time.Time
	sum   float64
	at    time.Time
}

func (r *decayingRate) add(x float64, now time.Time) {
	r.sum = r.faded(now) + x
	r.at = now
}

func (r *decayingRate) faded(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-max(now.Sub(r.at), 0).Seconds()/r.memory.Seconds())
}

func (r *decayingRate) read(now time.Time) float64 {
	counted := 1 - math.Exp(-max(now.Sub(r.since), time.Second).Seconds()/r.memory.Seconds())
	return r.faded(now) / r.memory.Seconds() / counted
}

type modelStats struct {
	load     decayingRate
	slowLoad decayingRate
	requests decayingRate
	waiting  int
}

type adapterStats struct {
	lastUse time.Time
	waiting int
}

// remoteDemand is what another instance told last.
type remoteDemand struct {
	region   string
	models   []exchange.ModelDoc
	adapters []exchange.AdapterDoc
	at       time.Time
}

// merge takes over what requests wait for; the former state of other models and adapters stays.
func (d *remoteDemand) merge(later *remoteDemand) {
	d.region, d.at = later.region, later.at
	d.models = mergeDocs(d.models, later.models, func(a, b *exchange.ModelDoc) bool {
		return a.Service == b.Service && a.Model == b.Model
	})
	d.adapters = mergeDocs(d.adapters, later.adapters, func(a, b *exchange.AdapterDoc) bool {
		return a.Service == b.Service && a.Model == b.Model && a.Adapter == b.Adapter
	})
}

// mergeDocs replaces those of the former documents that are about the same as a later one, and adds the others.
func mergeDocs[T any](former, later []T, same func(a, b *T) bool) []T {
	merged := slices.Clone(later)
	for i := range former {
		if !slices.ContainsFunc(later, func(l T) bool { return same(&former[i], &l) }) {
			merged = append(merged, former[i])
		}
	}
	return merged
}

// demandBook counts what clients ask for here and holds what the other instances told. It implements residency.Demands.
type demandBook struct {
	// region is that of this instance.
	region string

	mu sync.Mutex
	// since is the time of the first request.
	since    time.Time
	models   map[modelKey]*modelStats
	adapters map[adapterKey]*adapterStats
	remote   map[string]remoteDemand
	// adapterUse is the last use of each adapter at any instance.
	adapterUse map[adapterKey]time.Time
}

var _ residency.Demands = (*demandBook)(nil)

func newDemandBook(region string) *demandBook {
	return &demandBook{
		region:     region,
		models:     make(map[modelKey]*modelStats),
		adapters:   make(map[adapterKey]*adapterStats),
		remote:     make(map[string]remoteDemand),
		adapterUse: make(map[adapterKey]time.Time),
	}
}

// note counts a request.
func (b *demandBook) note(service string, r *Request, pace fleet.Pace, now time.Time) {
	if r.Model == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() {
		b.since = now
	}
	stats := b.model(modelKey{service, r.Model})
	stats.requests.add(1, now)
	stats.load.add(engineSeconds(r, pace), now)
	stats.slowLoad.add(engineSeconds(r, pace), now)
	if r.Adapter != "" {
		key := adapterKey{modelKey{service, r.Model}, r.Adapter}
		b.adapter(key).lastUse = now
		b.adapterUse[key] = now
	}
}

// engineSeconds is the engine time that a request needs.
func engineSeconds(r *Request, pace fleet.Pace) float64 {
	output := cmp.Or(r.ExpectedOutput, r.OutputTokens)
	return float64(r.PromptTokens)/pace.PrefillPerMs/1000 + float64(output)*decodeShare.Seconds()
}

func (b *demandBook) model(key modelKey) *modelStats {
	stats := b.models[key]
	if stats == nil {
		stats = &modelStats{
			load:     decayingRate{memory: fastMemory, since: b.since},
			slowLoad: decayingRate{memory: slowMemory, since: b.since},
			requests: decayingRate{memory: slowMemory, since: b.since},
		}
		b.models[key] = stats
	}
	return stats
}

func (b *demandBook) adapter(key adapterKey) *adapterStats {
	stats := b.adapters[key]
	if stats == nil {
		stats = &adapterStats{}
		b.adapters[key] = stats
	}
	return stats
}

// wait counts a request that waits for its model or adapter until the returned function is called.
func (b *demandBook) wait(service string, r *Request, forAdapter bool) (done func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := modelKey{service, r.Model}
	counter := &b.model(key).waiting
	if forAdapter {
		counter = &b.adapter(adapterKey{key, r.Adapter}).waiting
	}
	*counter++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		*counter--
	}
}

// receive takes over another instance's demand, or only what requests wait for there.
func (b *demandBook) receive(instance string, told remoteDemand, waitingOnly bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := told.at
	for _, a := range told.adapters {
		key := adapterKey{modelKey{a.Service, a.Model}, a.Adapter}
		if used := now.Add(-time.Duration(a.IdleMs) * time.Millisecond); used.After(b.adapterUse[key]) {
			b.adapterUse[key] = used
		}
	}
	if former, known := b.remote[instance]; known && waitingOnly {
		former.merge(&told)
		told = former
	}
	b.remote[instance] = told
}

// waiting returns the part of this instance's demand that requests wait for.
func (b *demandBook) waiting(now time.Time) ([]exchange.ModelDoc, []exchange.AdapterDoc) {
	models, adapters := b.own(now)
	models = slices.DeleteFunc(models, func(m exchange.ModelDoc) bool { return m.Waiting == 0 })
	adapters = slices.DeleteFunc(adapters, func(a exchange.AdapterDoc) bool { return a.Waiting == 0 })
	return models, adapters
}

// own returns this instance's demand as it is sent, and forgets what has faded.
func (b *demandBook) own(now time.Time) ([]exchange.ModelDoc, []exchange.AdapterDoc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var models []exchange.ModelDoc
	for key, stats := range b.models {
		requests := stats.requests.read(now)
		if requests < negligible && stats.waiting == 0 {
			delete(b.models, key)
			continue
		}
		models = append(models, exchange.ModelDoc{
			Service:       key.service,
			Model:         key.model,
			ShortTermLoad: round(stats.load.read(now)),
			LongTermLoad:  round(stats.slowLoad.read(now)),
			RequestRate:   round(requests),
			Waiting:       stats.waiting,
		})
	}
	var adapters []exchange.AdapterDoc
	for key, stats := range b.adapters {
		idle := now.Sub(stats.lastUse)
		if idle > adapterMemory && stats.waiting == 0 {
			delete(b.adapters, key)
			continue
		}
		if idle > adapterNews && stats.waiting == 0 {
			continue
		}
		adapters = append(adapters, exchange.AdapterDoc{
			Service: key.service, Model: key.model, Adapter: key.adapter, Waiting: stats.waiting, IdleMs: idle.Milliseconds(),
		})
	}
	return models, adapters
}

// round keeps three decimals, so that messages stay short.
func round(x float64) float64 {
	return math.Round(x*1000) / 1000
}

// eachModel calls f with the demand of every instance.
func (b *demandBook) eachModel(now time.Time, f func(m exchange.ModelDoc, region string)) {
	models, _ := b.own(now)
	for _, m := range models {
		f(m, b.region)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for instance, r := range b.remote {
		if now.Sub(r.at) > remoteDemandAge {
			delete(b.remote, instance)
			continue
		}
		for _, m := range r.models {
			f(m, r.region)
		}
	}
}

// ModelDemand implements residency.Demands.
func (b *demandBook) ModelDemand(service string, now time.Time) map[string]residency.ModelDemand {
	total := make(map[string]residency.ModelDemand)
	b.eachModel(now, func(m exchange.ModelDoc, region string) {
		if m.Service != service {
			return
		}
		d := total[m.Model]
		d.Load += m.LongTermLoad
		d.Forecast += m.ShortTermLoad
		d.Requests += m.RequestRate
		d.Waiting += m.Waiting
		if d.ByRegion == nil {
			d.ByRegion = make(map[string]float64)
		}
		d.ByRegion[region] += m.LongTermLoad
		total[m.Model] = d
	})
	for model, d := range total {
		d.Load, d.Forecast = estimateLoad(d.Forecast, d.Load, d.Requests)
		total[model] = d
	}
	return total
}

// estimateLoad returns the present load and the one expected a load time from now, from moving rates over a short and a
// long time. Differences that chance explains, given how few requests are counted, are no trend.
func estimateLoad(fast, slow, requests float64) (load, forecast float64) {
	perRequest := slow / max(requests, negligible)
	noise := perRequest * math.Sqrt(max(requests, negligible)/(2*fastMemory.Seconds()))
	// A single request is never a trend.
	least := max(trendNoise*noise, perRequest/fastMemory.Seconds())
	trend := fast - slow
	switch {
	case trend > least:
		return fast, fast + trendReach*(trend-noise)
	case trend < -least:
		return fast, fast
	default:
		return slow, slow
	}
}

// AdapterWants implements residency.Demands.
func (b *demandBook) AdapterWants(service string, now time.Time) []residency.AdapterWant {
	waiting := make(map[adapterKey]int)
	_, own := b.own(now)
	for _, a := range own {
		addWaiting(waiting, service, &a)
	}
	b.mu.Lock()
	for _, r := range b.remote {
		for i := range r.adapters {
			addWaiting(waiting, service, &r.adapters[i])
		}
	}
	b.mu.Unlock()
	wants := make([]residency.AdapterWant, 0, len(waiting))
	for key, n := range waiting {
		wants = append(wants, residency.AdapterWant{Model: key.model, Adapter: key.adapter, Waiting: n})
	}
	slices.SortFunc(wants, func(a, b residency.AdapterWant) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return wants
}

func addWaiting(waiting map[adapterKey]int, service string, a *exchange.AdapterDoc) {
	if a.Service == service && a.Waiting > 0 {
		waiting[adapterKey{modelKey{service, a.Model}, a.Adapter}] += a.Waiting
	}
}

// AdapterUse implements residency.Demands.
func (b *demandBook) AdapterUse(service string) map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	use := make(map[string]time.Time)
	for key, at := range b.adapterUse {
		if key.service == service {
			use[key.model+"/"+key.adapter] = at
		}
	}
	return use
}
