package loadtest

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/examples"
	standinengine "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/internal/standin/service"
	"github.com/mulberryglade/mulberryglade/internal/testbed"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

const (
	// modelLoad is a tenth of the engine stand-in's default, because a run lasts seconds where an hour passes in operation.
	modelLoad = 2 * time.Second
	// initialLoadsPerSecond and initialModelLoad speed up the first placement; the declared rate and modelLoad are in effect
	// from the warm-up on.
	initialLoadsPerSecond = 100
	initialModelLoad      = 100 * time.Millisecond
	orderLatency          = 20 * time.Millisecond
	copiesTimeout         = 60 * time.Second
	copiesInterval        = 250 * time.Millisecond
	// settledIntervals is how many intervals without an order to an engine end the first placement.
	settledIntervals = 10
	// gracePeriod of the instances covers several of the balancer's readiness checks.
	gracePeriod = time.Second
	// drainTimeout bounds the wait for the last responses of a run.
	drainTimeout = 20 * time.Second
	// orderTarget is the time within which an order is answered in time.
	orderTarget = time.Second
)

// Experiment is one run of a scenario against real daemon processes.
type Experiment struct {
	Binary     string
	Folder     string
	Deployment string
	Scenario   Scenario
	Policies   settings.Policies
	Seed       uint64
	Rate       float64
	Warmup     time.Duration
	Duration   time.Duration
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// Calls names a file that takes one JSON line per measured call; empty means none.
	Calls    string
	LogLevel string
}

// instancesPerDataCentre are the entry instances of a deployment's data centres.
var instancesPerDataCentre = []int{3, 2, 2}

// run is the state of a running experiment.
type run struct {
	Experiment
	bed      *testbed.Testbed
	network  *Network
	fleet    *Fleet
	balancer *Balancer
	rates    map[config.Kind]json.Number

	mu    sync.Mutex
	notes []string
}

// Run starts the deployment, runs the scenario and stops everything. Errors: the deployment did not start or become ready.
func (x Experiment) Run(ctx context.Context) (Report, error) {
	r := &run{Experiment: x, rates: make(map[config.Kind]json.Number)}
	if err := os.MkdirAll(x.Folder, 0o755); err != nil {
		return Report{}, errors.WithStack(err)
	}
	if err := r.startStandIns(ctx); err != nil {
		return Report{}, err
	}
	defer r.bed.Close()
	r.fleet = &Fleet{Binary: x.Binary, Folder: x.Folder}
	defer func() { _ = r.fleet.Stop() }()
	if err := r.startInstances(ctx); err != nil {
		return Report{}, err
	}
	missing, err := r.waitForCopies(ctx)
	if err != nil {
		return Report{}, err
	}
	r.network.Emulated.SetTransparent(false)
	for _, e := range r.bed.Engines {
		e.SetModelLoad(modelLoad)
	}
	if err := r.bed.Change(ctx, "declared-load-rate", r.restoreLoadRate); err != nil {
		return Report{}, err
	}
	report, observations, err := r.measure(ctx)
	if err != nil {
		return Report{}, err
	}
	report.ModelsWithoutCopy = missing
	for _, i := range r.fleet.All() {
		report.DaemonMaxRSSBytes = max(report.DaemonMaxRSSBytes, i.MaxRSS())
	}
	if err := r.fleet.Stop(); err != nil {
		r.note("shutdown: %v", err)
	}
	r.finish(&report, observations)
	return report, writeCalls(r.Calls, observations)
}

func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

func (r *run) startStandIns(ctx context.Context) error {
	declared, err := testbed.Declarations(testbed.Options{Declarations: examples.Files, Folder: r.Deployment})
	if err != nil {
		return err
	}
	r.network = NewNetwork(declared.DataCentres, declared.Deployment.RegionLinkBitsPerSecond)
	r.network.Emulated.SetTransparent(true)
	timing := standinengine.DefaultTiming()
	timing.ModelLoad = initialModelLoad
	r.bed, err = testbed.Start(testbed.Options{
		Declarations: examples.Files,
		Folder:       r.Deployment,
		Listen:       r.network.Listen,
		Adjust:       r.adjust,
		Engine: func(config.Endpoint) standinengine.Options {
			return standinengine.Options{Timing: timing, TimeScale: 1, MaxRunning: r.Slots, Seed: r.Seed}
		},
		Service: func(config.Endpoint) service.Options { return service.Options{Latency: orderLatency} },
	})
	if err != nil {
		return err
	}
	return r.bed.Apply(ctx, "initial")
}

const loadRateField = "modelLoadsPerSecond"

// adjust prepares the declarations for the experiment.
func (r *run) adjust(kind config.Kind, fields map[string]any) {
	switch kind {
	case config.KindDeployment:
		if rate, ok := fields[loadRateField].(json.Number); ok {
			r.rates[kind] = rate
		}
		fields[loadRateField] = json.Number(strconv.Itoa(initialLoadsPerSecond))
	case config.KindEndpoint:
		if _, isEngine := fields["accelerators"]; isEngine {
			fields["maxConcurrentRequests"] = json.Number(strconv.Itoa(r.Slots))
		}
	case config.KindMember:
		if r.Scenario.NoMemberLimits {
			delete(fields, "maxConcurrentRequests")
		}
	}
}

func (r *run) restoreLoadRate(kind config.Kind, fields map[string]any) {
	if rate, known := r.rates[kind]; known {
		fields[loadRateField] = rate
	}
}

// instancesOf returns the number of entry instances of a data centre.
func instancesOf(index int) int {
	return instancesPerDataCentre[min(index, len(instancesPerDataCentre)-1)]
}

// startInstances starts the entry instances; the first of each data centre is a seed of all others.
func (r *run) startInstances(ctx context.Context) error {
	var seeds []string
	for _, d := range r.bed.Typed.DataCentres {
		seeds = append(seeds, hostPort(r.network.InstanceIP(d.Name, 0), peerPort))
	}
	var callers []string
	for i, d := range r.bed.Typed.DataCentres {
		for number := range instancesOf(i) {
			s := r.settingsOf(d.Name, number, seeds)
			if _, err := r.fleet.Start(s); err != nil {
				return err
			}
			callers = append(callers, s.CallerAddress)
		}
	}
	for _, i := range r.fleet.All() {
		if err := i.WaitReady(ctx); err != nil {
			return err
		}
	}
	r.balancer = NewBalancer(callers, r.Seed)
	return nil
}

func (r *run) settingsOf(dataCentre string, number int, seeds []string) settings.Settings {
	ip := r.network.InstanceIP(dataCentre, number)
	s := r.bed.Settings(fmt.Sprintf("entry-%s-%d", dataCentre, number+1), dataCentre, ip)
	s.CallerAddress = hostPort(ip, callerPort)
	s.PeerAddress = hostPort(ip, peerPort)
	s.AdminAddress = hostPort(ip, adminPort)
	s.OutboundAddress = ip
	for _, seed := range seeds {
		if seed != s.PeerAddress {
			s.SeedPeers = append(s.SeedPeers, seed)
		}
	}
	s.Policies = r.Policies
	s.Shutdown.GraceMs = gracePeriod.Milliseconds()
	s.LogLevel = r.LogLevel
	return s
}

// waitForCopies waits until all models have a copy and no order runs any more. A policy that leaves models without a copy
// is measured all the same; their number is in the report.
func (r *run) waitForCopies(ctx context.Context) (missing int, err error) {
	ctx, cancel := context.WithTimeout(ctx, copiesTimeout)
	defer cancel()
	before, quiet := -1, 0
	for {
		models, adapters := r.bed.Moves()
		quiet++
		if models+adapters != before {
			before, quiet = models+adapters, 0
		}
		missing = r.modelsWithoutCopy()
		if quiet >= settledIntervals && models > 0 {
			return missing, nil
		}
		select {
		case <-ctx.Done():
			return missing, errors.Newf("the first placement did not settle in %v; %d models have no copy", copiesTimeout, missing)
		case <-time.After(copiesInterval):
		}
	}
}

func (r *run) modelsWithoutCopy() int {
	missing := 0
	for _, m := range r.bed.Typed.Models {
		loaded := false
		for _, e := range r.bed.Engines {
			loaded = loaded || e.Memory().Loaded(engine.Artifact{Kind: engine.KindModel, Name: m.Name, Version: m.Version})
		}
		if !loaded {
			missing++
		}
	}
	return missing
}

// counters are totals at the beginning of the measured time.
type counters struct {
	models, adapters, storeCalls int
	regionBytes                  int64
	cpu                          time.Duration
}

func (r *run) counters() counters {
	var c counters
	c.models, c.adapters = r.bed.Moves()
	c.storeCalls = r.bed.StoreCalls()
	c.regionBytes = r.network.RegionBytes()
	c.cpu = r.fleet.CPUTime()
	return c
}

// measure runs the schedule and returns what callers saw after the warm-up.
func (r *run) measure(ctx context.Context) (Report, []Observation, error) {
	load := Load{Records: r.bed.Typed, Rate: r.Rate, Warmup: r.Warmup, Duration: r.Duration}
	arrivals := Schedule(r.Scenario.Mixes(load), r.Warmup+r.Duration, r.Seed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	var admins []string
	for _, i := range r.fleet.All() {
		admins = append(admins, i.Settings.AdminAddress)
	}
	group.Go(func() { r.balancer.Watch(ctx, admins) })

	started := time.Now()
	group.Go(func() { r.injectFaults(ctx, started.Add(r.Warmup)) })
	before := make(chan counters, 1)
	group.Go(func() {
		sleepUntil(ctx, started.Add(r.Warmup))
		before <- r.counters()
	})
	observations := r.send(ctx, arrivals, started)
	if ctx.Err() != nil {
		return Report{}, nil, ctx.Err()
	}
	after := r.counters()
	seconds := time.Since(started.Add(r.Warmup)).Seconds()
	return r.report(<-before, after, seconds), observations, nil
}

// send sends each call at its time, whatever became of the calls before, and waits for the responses.
func (r *run) send(ctx context.Context, arrivals []Arrival, started time.Time) []Observation {
	client := NewClient(keysOf(r.Deployment), orderPathOf(r.Deployment))
	client.Dial(r.network.Dial)
	observations := make([]Observation, len(arrivals))
	done := make([]bool, len(arrivals))
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, a := range arrivals {
		due := started.Add(a.At)
		sleepUntil(ctx, due)
		if ctx.Err() != nil {
			break
		}
		address := r.balancer.Pick(a.Member)
		group.Go(func() {
			o := client.Call(address, a, due)
			mu.Lock()
			defer mu.Unlock()
			observations[i], done[i] = o, true
		})
	}
	sleepUntil(ctx, started.Add(r.Warmup+r.Duration))
	waitAtMost(&group, drainTimeout)
	mu.Lock()
	defer mu.Unlock()
	var measured []Observation
	for i, a := range arrivals {
		o := observations[i]
		if !done[i] {
			o = Observation{Arrival: a, Err: "no response until the end of the run"}
		}
		o.Arrival.At -= r.Warmup
		o.Arrival.Prompt = ""
		if o.Arrival.At >= 0 {
			measured = append(measured, o)
		}
	}
	return measured
}

func waitAtMost(group *sync.WaitGroup, limit time.Duration) {
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(limit):
	}
}

func (r *run) report(before, after counters, seconds float64) Report {
	accelerators, instances := 0, 0
	for i := range r.bed.Typed.DataCentres {
		instances += instancesOf(i)
	}
	for _, e := range r.bed.Typed.Endpoints {
		accelerators += len(e.Accelerators)
	}
	return Report{
		Name:             fmt.Sprintf("%s-%s-%s-%d", r.Deployment, r.Scenario.Name, PolicyName(r.Policies), r.Seed),
		Deployment:       r.Deployment,
		Scenario:         r.Scenario.Name,
		Policy:           PolicyName(r.Policies),
		Seed:             r.Seed,
		Rate:             r.Rate,
		Instances:        instances,
		Accelerators:     accelerators,
		Seconds:          r.Duration.Seconds(),
		ModelMoves:       after.models - before.models,
		AdapterMoves:     after.adapters - before.adapters,
		StoreCallsPerSec: float64(after.storeCalls-before.storeCalls) / seconds,
		RegionLinkBytes:  after.regionBytes - before.regionBytes,
		DaemonCPUSeconds: (after.cpu - before.cpu).Seconds(),
	}
}

// finish adds what is known after the instances stopped.
func (r *run) finish(report *Report, observations []Observation) {
	Summarise(report, observations, TargetsOf(r.bed.Typed, orderTarget), orderTarget)
	shares := make(map[string]float64)
	for _, m := range r.bed.Typed.Members {
		shares[m.Name] = m.Share
	}
	report.ShareError = ShareError(report.Members, shares)
	CheckOrders(report, observations, r.bed.Executions)
	report.MemoryViolations = r.bed.Violations()
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Faults = r.notes
}

// PolicyName joins the policies' names.
func PolicyName(p settings.Policies) string {
	return p.Routing + "_" + p.Queueing + "_" + p.Placement
}

// keysOf returns the published evaluation keys of a sample deployment's members; see examples/README.md.
func keysOf(deployment string) map[string]string {
	if deployment == "lusorenda" {
		return map[string]string{
			"index-desk":      "lusorenda-index-evaluation-key-1",
			"market-analysts": "lusorenda-analysts-evaluation-key",
			"lease-review":    "lusorenda-lease-evaluation-key-1",
		}
	}
	return map[string]string{
		"school-kitchens":  "sindhuli-kitchens-evaluation-key",
		"farm-cooperative": "sindhuli-farms-evaluation-key-01",
		"district-office":  "sindhuli-district-evaluation-key",
	}
}

func orderPathOf(deployment string) string {
	if deployment == "lusorenda" {
		return "/v1/services/index-api/publications"
	}
	return "/v1/services/order-desk/orders"
}

func sleepUntil(ctx context.Context, due time.Time) {
	wait := time.Until(due)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
