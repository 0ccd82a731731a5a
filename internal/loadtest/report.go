package loadtest

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

const (
	// histogramMaxMicros is the highest recorded value; longer latencies count as this value.
	histogramMaxMicros = int64(5 * time.Minute / time.Microsecond)
	// histogramDigits is the number of significant digits of recorded values.
	histogramDigits = 3
)

// Targets are the latency targets of a model or adapter. A call that meets them counts as in time.
type Targets struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Order is the target for the response time of an order.
	Order time.Duration
}

// TargetsByModel returns the targets of each model and adapter id.
func TargetsByModel(records config.Records, orderTarget time.Duration) map[string]Targets {
	targets := make(map[string]Targets)
	for _, m := range records.Models {
		t := Targets{
			FirstToken:    config.DefaultFirstTokenTarget,
			BetweenTokens: config.DefaultBetweenTokensTarget,
			Order:         orderTarget,
		}
		if m.FirstTokenTargetMs > 0 {
			t.FirstToken = config.Milliseconds(m.FirstTokenTargetMs)
		}
		if m.BetweenTokensTargetMs > 0 {
			t.BetweenTokens = config.Milliseconds(m.BetweenTokensTargetMs)
		}
		targets[m.Name] = t
	}
	for _, a := range records.Adapters {
		targets[a.Name] = targets[a.Model]
	}
	return targets
}

// InTime reports whether the response is complete and within the targets of the call.
func InTime(o Observation, targets map[string]Targets, orderTarget time.Duration) bool {
	if !o.Complete {
		return false
	}
	if o.Arrival.Kind == OrderCall {
		return o.Total <= orderTarget
	}
	t := targets[o.Arrival.Model]
	return o.FirstToken <= t.FirstToken && o.BetweenTokens <= t.BetweenTokens
}

// Quantiles are percentiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50Ms"`
	P95 float64 `json:"p95Ms"`
	P99 float64 `json:"p99Ms"`
}

// MemberReport summarises the calls of one member.
type MemberReport struct {
	Calls      int     `json:"calls"`
	InTime     int     `json:"inTime"`
	Attainment float64 `json:"attainment"`
	// Tokens is the number of output tokens received, DemandedTokens the number requested.
	Tokens         int `json:"tokens"`
	DemandedTokens int `json:"demandedTokens"`
	// FirstToken and Outcomes are defined as in Report.
	FirstToken Quantiles      `json:"firstToken"`
	Outcomes   map[string]int `json:"outcomes"`
}

// Report is the result of one run.
type Report struct {
	Name         string  `json:"name"`
	Deployment   string  `json:"deployment"`
	Scenario     string  `json:"scenario"`
	Policy       string  `json:"policy"`
	Commit       string  `json:"commit"`
	Command      string  `json:"command"`
	Seed         uint64  `json:"seed"`
	Rate         float64 `json:"ratePerSecond"`
	Instances    int     `json:"instances"`
	Accelerators int     `json:"accelerators"`
	Seconds      float64 `json:"seconds"`

	Calls int `json:"calls"`
	// InTime is the number of calls that met their targets; Attainment is their fraction of all calls.
	InTime     int     `json:"inTime"`
	Attainment float64 `json:"attainment"`
	// InTimePerAcceleratorSecond is InTime per accelerator and second.
	InTimePerAcceleratorSecond float64 `json:"attainmentPerAcceleratorSecond"`
	// ShareError is the largest absolute difference between a member's fraction of the delivered tokens and its fair
	// fraction; see the function ShareError.
	ShareError float64 `json:"shareError"`
	// Goodput is the number of complete responses per second.
	Goodput       float64                 `json:"goodputPerSecond"`
	FirstToken    Quantiles               `json:"firstToken"`
	BetweenTokens Quantiles               `json:"betweenTokens"`
	Outcomes      map[string]int          `json:"outcomes"`
	Problems      map[string]int          `json:"problems"`
	Members       map[string]MemberReport `json:"members"`
	// DuplicateOrders is the number of orders that ran more than once, NotRunOrdersThatRan the number of orders that
	// ran although their caller received the outcome not_run.
	DuplicateOrders     int `json:"duplicateOrders"`
	NotRunOrdersThatRan int `json:"notRunOrdersThatRan"`
	// MemoryViolations is the number of loads that overcommitted an accelerator.
	MemoryViolations int `json:"memoryViolations"`
	// ModelMoves and AdapterMoves count the loads and unloads that were completed after the warm-up.
	ModelMoves        int     `json:"modelMoves"`
	AdapterMoves      int     `json:"adapterMoves"`
	ModelsWithoutCopy int     `json:"modelsWithoutCopyAtStart"`
	StoreCallsPerSec  float64 `json:"storeCallsPerSecond"`
	RegionLinkBytes   int64   `json:"regionLinkBytes"`
	// DaemonCPUSeconds is the sum over all instances, DaemonMaxRSSBytes the maximum over them.
	DaemonCPUSeconds  float64 `json:"daemonCpuSeconds"`
	DaemonMaxRSSBytes int64   `json:"daemonMaxRssBytes"`
	// Faults lists the time of each injected fault, and errors of the injection and of the shutdown.
	Faults []string `json:"faults,omitempty"`
	// LatenessP99Ms is the 99th percentile of Observation.Lateness, the delay of the load generator in sending calls. A
	// large value invalidates the run.
	LatenessP99Ms float64 `json:"generatorLateP99Ms"`
	Series        []Point `json:"series"`
}

// Point counts the calls that were scheduled in one second of the measured time.
type Point struct {
	Second int `json:"second"`
	Calls  int `json:"calls"`
	InTime int `json:"inTime"`
}

type latencyHistogram struct {
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{histogram: hdrhistogram.New(1, histogramMaxMicros, histogramDigits)}
}

func (l latencyHistogram) add(d time.Duration) {
	micros := min(max(1, d.Microseconds()), histogramMaxMicros)
	_ = l.histogram.RecordValue(micros) // The value is within the bounds.
}

func (l latencyHistogram) quantile(percent float64) float64 {
	const microsPerMilli = 1000
	return float64(l.histogram.ValueAtQuantile(percent)) / microsPerMilli
}

func (l latencyHistogram) quantiles() Quantiles {
	return Quantiles{P50: l.quantile(50), P95: l.quantile(95), P99: l.quantile(99)}
}

// Summarise fills in the fields of a report that are computed from the observations.
func Summarise(report *Report, observations []Observation, targets map[string]Targets, orderTarget time.Duration) {
	firstToken, betweenTokens, lateness := newLatencyHistogram(), newLatencyHistogram(), newLatencyHistogram()
	report.Outcomes = make(map[string]int)
	report.Problems = make(map[string]int)
	report.Members = make(map[string]MemberReport)
	report.Series = make([]Point, max(1, int(math.Ceil(report.Seconds))))
	for i := range report.Series {
		report.Series[i].Second = i
	}
	firstTokenByMember := make(map[string]latencyHistogram)
	complete := 0
	for _, o := range observations {
		inTime := InTime(o, targets, orderTarget)
		report.Calls++
		lateness.add(o.Lateness)
		report.Outcomes[outcomeName(o)]++
		if o.Problem != "" {
			report.Problems[string(o.Problem)]++
		}
		if o.Complete {
			complete++
		}
		if o.Tokens > 0 {
			firstToken.add(o.FirstToken)
			if _, known := firstTokenByMember[o.Arrival.Member]; !known {
				firstTokenByMember[o.Arrival.Member] = newLatencyHistogram()
			}
			firstTokenByMember[o.Arrival.Member].add(o.FirstToken)
		}
		if o.Tokens > 1 {
			betweenTokens.add(o.BetweenTokens)
		}
		report.addCall(o, inTime)
	}
	for name, m := range report.Members {
		if l, known := firstTokenByMember[name]; known {
			m.FirstToken = l.quantiles()
			report.Members[name] = m
		}
	}
	report.Attainment = ratio(report.InTime, report.Calls)
	report.InTimePerAcceleratorSecond = float64(report.InTime) / float64(max(1, report.Accelerators)) / report.Seconds
	report.Goodput = float64(complete) / report.Seconds
	report.FirstToken = firstToken.quantiles()
	report.BetweenTokens = betweenTokens.quantiles()
	report.LatenessP99Ms = lateness.quantile(99)
}

func (r *Report) addCall(o Observation, inTime bool) {
	m := r.Members[o.Arrival.Member]
	if m.Outcomes == nil {
		m.Outcomes = make(map[string]int)
	}
	m.Outcomes[outcomeName(o)]++
	m.Calls++
	m.Tokens += o.Tokens
	if o.Arrival.Kind == ModelCall {
		m.DemandedTokens += o.Arrival.OutputTokens
	}
	second := min(int(o.Arrival.At.Seconds()), len(r.Series)-1)
	r.Series[second].Calls++
	if inTime {
		r.InTime++
		m.InTime++
		r.Series[second].InTime++
	}
	m.Attainment = ratio(m.InTime, m.Calls)
	r.Members[o.Arrival.Member] = m
}

func outcomeName(o Observation) string {
	switch {
	case o.Complete:
		return "complete"
	case o.Outcome != "":
		return string(o.Outcome)
	case o.Err != "":
		return "broken"
	}
	return "truncated"
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// ShareError returns the largest absolute difference between a member's fraction of the delivered tokens and its fair
// fraction. The fair fractions divide the delivered tokens by the declared shares; a member gets no more than it
// requested, and the others share the rest.
func ShareError(members map[string]MemberReport, shares map[string]float64) float64 {
	delivered := 0.0
	unsatisfied := make(map[string]float64)
	for name, m := range members {
		delivered += float64(m.Tokens)
		unsatisfied[name] = shares[name]
	}
	if delivered == 0 {
		return 0
	}
	fairTokensByMember := fairTokens(members, unsatisfied, delivered)
	maxError := 0.0
	for name, m := range members {
		maxError = max(maxError, math.Abs(float64(m.Tokens)-fairTokensByMember[name])/delivered)
	}
	return maxError
}

// fairTokens divides the remaining tokens among the unsatisfied members in proportion to their shares. A member whose
// demand is below its portion gets its demand; the rest is divided among the others.
func fairTokens(members map[string]MemberReport, unsatisfied map[string]float64, remaining float64) map[string]float64 {
	fair := make(map[string]float64)
	for len(unsatisfied) > 0 {
		totalShare := 0.0
		for _, share := range unsatisfied {
			totalShare += share
		}
		satisfied := ""
		for name, share := range unsatisfied {
			if float64(members[name].DemandedTokens) <= remaining*share/totalShare {
				satisfied = name
			}
		}
		if satisfied == "" {
			for name, share := range unsatisfied {
				fair[name] = remaining * share / totalShare
			}
			return fair
		}
		fair[satisfied] = float64(members[satisfied].DemandedTokens)
		remaining -= fair[satisfied]
		delete(unsatisfied, satisfied)
	}
	return fair
}

// CheckOrders counts the duplicate orders and those that ran in spite of the outcome not_run. It compares the outcomes
// that callers received with the executions by the services.
func CheckOrders(report *Report, observations []Observation, executions func(orderID string) int) {
	for _, o := range observations {
		if o.Arrival.Kind != OrderCall {
			continue
		}
		ran := executions(o.Arrival.OrderID)
		if ran > 1 {
			report.DuplicateOrders++
		}
		if ran > 0 && o.Outcome == problem.NotRun {
			report.NotRunOrdersThatRan++
		}
	}
}
