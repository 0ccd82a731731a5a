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
	// modelLoadTime is a tenth of the engine stand-in's default, because a run of seconds stands for an hour of
	// operation.
	modelLoadTime = 2 * time.Second
	// initialLoadsPerSecond and initialModelLoadTime speed up the first placement. The declared rate and modelLoadTime
	// apply from the warm-up on.
	initialLoadsPerSecond = 100
	initialModelLoadTime  = 100 * time.Millisecond
	// orderLatency is the time in which a service stand-in executes an order.
	orderLatency          = 20 * time.Millisecond
	placementTimeout      = 60 * time.Second
	placementPollInterval = 250 * time.Millisecond
	// settledPolls is the number of successive polls without a completed load or unload after which the first placement
	// counts as settled.
	settledPolls = 10
	// gracePeriod is the shutdown grace period of the instances. It covers several readiness checks of the balancer.
	gracePeriod = time.Second
	// drainTimeout bounds the wait for the last responses of a run.
	drainTimeout = 20 * time.Second
	// orderTarget is the target for the response time of an order.
	orderTarget = time.Second
)

// Experiment is one run of a scenario against real daemon processes.
type Experiment struct {
	// Binary and Folder are those of the Fleet.
	Binary string
	Folder string
	// Deployment is the folder of a sample deployment in examples.
	Deployment string
	Scenario   Scenario
	Policies   settings.Policies
	Seed       uint64
	// Rate, Warmup and Duration are those of LoadParameters.
	Rate     float64
	Warmup   time.Duration
	Duration time.Duration
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CallsFile is the path of a file with one JSON line per measured call. If empty, no file is written.
	CallsFile string
	LogLevel  string
}

// instancesPerDataCentre has the number of entry instances of each data centre; the last number also applies to all
// further data centres.
var instancesPerDataCentre = []int{3, 2, 2}

// run is the state of a running experiment.
type run struct {
	Experiment
	testEnv           *testbed.Testbed
	network           *Network
	fleet             *Fleet
	balancer          *Balancer
	declaredLoadRates map[config.Kind]json.Number

	mu     sync.Mutex
	events []string
}

// Run starts the deployment, runs the scenario and stops the deployment. It returns an error if the deployment does not
// start, does not become ready or does not complete its first placement, or if the context ends.
func (x Experiment) Run(ctx context.Context) (Report, error) {
	r := &run{Experiment: x, declaredLoadRates: make(map[config.Kind]json.Number)}
	if err := os.MkdirAll(x.Folder, 0o755); err != nil {
		return Report{}, errors.WithStack(err)
	}
	if err := r.startStandIns(ctx); err != nil {
		return Report{}, err
	}
	defer r.testEnv.Close()
	r.fleet = &Fleet{Binary: x.Binary, Folder: x.Folder}
	defer func() { _ = r.fleet.Stop() }()
	if err := r.startInstances(ctx); err != nil {
		return Report{}, err
	}
	modelsWithoutCopy, err := r.waitForPlacement(ctx)
	if err != nil {
		return Report{}, err
	}
	r.network.EmulatedLinks.SetTransparent(false)
	for _, e := range r.testEnv.Engines {
		e.SetModelLoadTime(modelLoadTime)
	}
	if err := r.testEnv.Change(ctx, "declared-load-rate", r.restoreLoadRate); err != nil {
		return Report{}, err
	}
	report, observations, err := r.measure(ctx)
	if err != nil {
		return Report{}, err
	}
	report.ModelsWithoutCopy = modelsWithoutCopy
	for _, i := range r.fleet.All() {
		report.DaemonMaxRSSBytes = max(report.DaemonMaxRSSBytes, i.MaxRSS())
	}
	if err := r.fleet.Stop(); err != nil {
		r.recordEvent("shutdown: %v", err)
	}
	r.completeReport(&report, observations)
	return report, writeCalls(r.CallsFile, observations)
}

func (r *run) recordEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf(format, args...))
}

func (r *run) startStandIns(ctx context.Context) error {
	declared, err := testbed.Declarations(testbed.Options{Declarations: examples.Files, Folder: r.Deployment})
	if err != nil {
		return err
	}
	r.network = NewNetwork(declared.DataCentres, declared.Deployment.RegionLinkBitsPerSecond)
	r.network.EmulatedLinks.SetTransparent(true)
	timing := standinengine.DefaultTiming()
	timing.ModelLoad = initialModelLoadTime
	r.testEnv, err = testbed.Start(testbed.Options{
		Declarations: examples.Files,
		Folder:       r.Deployment,
		Listen:       r.network.Listen,
		Adjust:       r.adjustRecord,
		Engine: func(config.Endpoint) standinengine.Options {
			return standinengine.Options{Timing: timing, TimeScale: 1, MaxRunning: r.Slots, Seed: r.Seed}
		},
		Service: func(config.Endpoint) service.Options { return service.Options{Latency: orderLatency} },
	})
	if err != nil {
		return err
	}
	return r.testEnv.Apply(ctx, "initial")
}

const loadRateField = "modelLoadsPerSecond"

// adjustRecord raises the load rate for the first placement, sets the request limit of the engines to Slots, and
// removes the request limits of the members if the scenario has NoMemberLimits.
func (r *run) adjustRecord(kind config.Kind, fields map[string]any) {
	switch kind {
	case config.KindDeployment:
		if rate, ok := fields[loadRateField].(json.Number); ok {
			r.declaredLoadRates[kind] = rate
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
	if rate, known := r.declaredLoadRates[kind]; known {
		fields[loadRateField] = rate
	}
}

// instanceCount returns the number of entry instances of the data centre with the index.
func instanceCount(dataCentreIndex int) int {
	return instancesPerDataCentre[min(dataCentreIndex, len(instancesPerDataCentre)-1)]
}

// startInstances starts the entry instances and waits until they are ready. The first instance of each data centre is a
// seed peer of all others.
func (r *run) startInstances(ctx context.Context) error {
	var seeds []string
	for _, d := range r.testEnv.TypedRecords.DataCentres {
		seeds = append(seeds, hostPort(r.network.InstanceIP(d.Name, 0), peerPort))
	}
	var instanceAddresses []string
	for i, d := range r.testEnv.TypedRecords.DataCentres {
		for number := range instanceCount(i) {
			s := r.instanceSettings(d.Name, number, seeds)
			if _, err := r.fleet.Start(s); err != nil {
				return err
			}
			instanceAddresses = append(instanceAddresses, s.CallerAddress)
		}
	}
	for _, i := range r.fleet.All() {
		if err := i.WaitReady(ctx); err != nil {
			return err
		}
	}
	r.balancer = NewBalancer(instanceAddresses, r.Seed)
	return nil
}

func (r *run) instanceSettings(dataCentre string, number int, seeds []string) settings.Settings {
	ip := r.network.InstanceIP(dataCentre, number)
	s := r.testEnv.Settings(fmt.Sprintf("entry-%s-%d", dataCentre, number+1), dataCentre, ip)
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

// waitForPlacement waits until the engines complete no more loads and unloads, and returns the number of models without
// a copy. A policy that leaves models without a copy is measured all the same; their number is in the report.
func (r *run) waitForPlacement(ctx context.Context) (modelsWithoutCopy int, err error) {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	previousMoves, unchangedPolls := -1, 0
	for {
		modelMoves, adapterMoves := r.testEnv.LoadsAndUnloads()
		unchangedPolls++
		if modelMoves+adapterMoves != previousMoves {
			previousMoves, unchangedPolls = modelMoves+adapterMoves, 0
		}
		modelsWithoutCopy = r.modelsWithoutCopy()
		if unchangedPolls >= settledPolls && modelMoves > 0 {
			return modelsWithoutCopy, nil
		}
		select {
		case <-ctx.Done():
			return modelsWithoutCopy, errors.Newf("the first placement did not settle in %v; %d models have no copy",
				placementTimeout, modelsWithoutCopy)
		case <-time.After(placementPollInterval):
		}
	}
}

func (r *run) modelsWithoutCopy() int {
	count := 0
	for _, m := range r.testEnv.TypedRecords.Models {
		loaded := false
		for _, e := range r.testEnv.Engines {
			loaded = loaded || e.Memory().Loaded(engine.Artifact{Kind: engine.KindModel, Name: m.Name, Version: m.Version})
		}
		if !loaded {
			count++
		}
	}
	return count
}

// counters are totals since the start of the run. Their difference over the measured time is reported.
type counters struct {
	modelMoves, adapterMoves, storeCalls int
	regionLinkBytes                      int64
	cpuTime                              time.Duration
}

func (r *run) counters() counters {
	var c counters
	c.modelMoves, c.adapterMoves = r.testEnv.LoadsAndUnloads()
	c.storeCalls = r.testEnv.StoreCalls()
	c.regionLinkBytes = r.network.RegionLinkBytes()
	c.cpuTime = r.fleet.CPUTime()
	return c
}

// measure runs the schedule and the faults. It returns the observations of the calls after the warm-up.
func (r *run) measure(ctx context.Context) (Report, []Observation, error) {
	load := LoadParameters{Records: r.testEnv.TypedRecords, Rate: r.Rate, Warmup: r.Warmup, Duration: r.Duration}
	arrivals := Schedule(r.Scenario.Mixes(load), r.Warmup+r.Duration, r.Seed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	var adminAddresses []string
	for _, i := range r.fleet.All() {
		adminAddresses = append(adminAddresses, i.Settings.AdminAddress)
	}
	group.Go(func() { r.balancer.PollReadiness(ctx, adminAddresses) })

	started := time.Now()
	group.Go(func() { r.injectFaults(ctx, started.Add(r.Warmup)) })
	before := make(chan counters, 1)
	group.Go(func() {
		sleepUntil(ctx, started.Add(r.Warmup))
		before <- r.counters()
	})
	observations := r.sendCalls(ctx, arrivals, started)
	if ctx.Err() != nil {
		return Report{}, nil, ctx.Err()
	}
	after := r.counters()
	seconds := time.Since(started.Add(r.Warmup)).Seconds()
	return r.newReport(<-before, after, seconds), observations, nil
}

// sendCalls sends each call at its scheduled time, whether or not earlier calls are complete, and waits for the
// responses.
func (r *run) sendCalls(ctx context.Context, arrivals []Arrival, started time.Time) []Observation {
	client := NewClient(memberKeys(r.Deployment), orderPath(r.Deployment))
	client.SetDial(r.network.Dial)
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
		address := r.balancer.PickAddress(a.Member)
		group.Go(func() {
			o := client.Call(address, a, due)
			mu.Lock()
			defer mu.Unlock()
			observations[i], done[i] = o, true
		})
	}
	sleepUntil(ctx, started.Add(r.Warmup+r.Duration))
	waitWithTimeout(&group, drainTimeout)
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

func waitWithTimeout(group *sync.WaitGroup, timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

func (r *run) newReport(before, after counters, seconds float64) Report {
	accelerators, instances := 0, 0
	for i := range r.testEnv.TypedRecords.DataCentres {
		instances += instanceCount(i)
	}
	for _, e := range r.testEnv.TypedRecords.Endpoints {
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
		ModelMoves:       after.modelMoves - before.modelMoves,
		AdapterMoves:     after.adapterMoves - before.adapterMoves,
		StoreCallsPerSec: float64(after.storeCalls-before.storeCalls) / seconds,
		RegionLinkBytes:  after.regionLinkBytes - before.regionLinkBytes,
		DaemonCPUSeconds: (after.cpuTime - before.cpuTime).Seconds(),
	}
}

// completeReport adds the figures that are complete only after the instances have stopped.
func (r *run) completeReport(report *Report, observations []Observation) {
	Summarise(report, observations, TargetsByModel(r.testEnv.TypedRecords, orderTarget), orderTarget)
	shares := make(map[string]float64)
	for _, m := range r.testEnv.TypedRecords.Members {
		shares[m.Name] = m.Share
	}
	report.ShareError = ShareError(report.Members, shares)
	CheckOrders(report, observations, r.testEnv.Executions)
	report.MemoryViolations = r.testEnv.Overcommits()
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Faults = r.events
}

// PolicyName returns the names of the policies, joined for reports and file names.
func PolicyName(p settings.Policies) string {
	return p.Routing + "_" + p.Queueing + "_" + p.Placement
}

// memberKeys returns the bearer keys of a sample deployment's members, which examples/README.md publishes for
// evaluation.
func memberKeys(deployment string) map[string]string {
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

func orderPath(deployment string) string {
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
