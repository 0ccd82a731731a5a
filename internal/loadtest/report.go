package loadtest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

const (
	// histogramMax is the longest latency that is told apart, in microseconds.
	histogramMax = int64(5 * time.Minute / time.Microsecond)
	// histogramDigits is the number of significant digits.
	histogramDigits = 3
)

// Targets define "answered in time".
type Targets struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Order bounds the response time of an order.
	Order time.Duration
}

// TargetsOf returns the targets of each model and adapter id.
func TargetsOf(records config.Records, order time.Duration) map[string]Targets {
	targets := make(map[string]Targets)
	for _, m := range records.Models {
		t := Targets{
			FirstToken:    config.DefaultFirstTokenTarget,
			BetweenTokens: config.DefaultBetweenTokensTarget,
			Order:         order,
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

// InTime tells whether the call was answered in time: complete, and within its targets.
func InTime(o Observation, targets map[string]Targets, order time.Duration) bool {
	if !o.Complete {
		return false
	}
	if o.Arrival.Kind == OrderCall {
		return o.Total <= order
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

// MemberReport sums up one member.
type MemberReport struct {
	Calls      int     `json:"calls"`
	InTime     int     `json:"inTime"`
	Attainment float64 `json:"attainment"`
	// Tokens are the output tokens received.
	Tokens int `json:"tokens"`
}

// Report is the result of one run.
type Report struct {
	Name         string  `json:"name"`
	Deployment   string  `json:"deployment"`
	Scenario     string  `json:"scenario"`
	Policy       string  `json:"policy"`
	Seed         uint64  `json:"seed"`
	Accelerators int     `json:"accelerators"`
	Seconds      float64 `json:"seconds"`

	Calls int `json:"calls"`
	// InTime are the calls answered in time; Attainment is their part of all calls.
	InTime     int     `json:"inTime"`
	Attainment float64 `json:"attainment"`
	// AttainmentPerAccelerator is InTime per accelerator and second.
	AttainmentPerAccelerator float64 `json:"attainmentPerAcceleratorSecond"`
	// Goodput is complete responses per second.
	Goodput       float64                 `json:"goodputPerSecond"`
	FirstToken    Quantiles               `json:"firstToken"`
	BetweenTokens Quantiles               `json:"betweenTokens"`
	Outcomes      map[string]int          `json:"outcomes"`
	Problems      map[string]int          `json:"problems"`
	Members       map[string]MemberReport `json:"members"`
	// DuplicateOrders are orders that ran more than once; NotRunOrdersThatRan broke the promise of not_run.
	DuplicateOrders     int `json:"duplicateOrders"`
	NotRunOrdersThatRan int `json:"notRunOrdersThatRan"`
	MemoryViolations    int `json:"memoryViolations"`
	// Moves are loads and unloads carried out after the warm-up.
	Moves             int     `json:"moves"`
	StoreCallsPerSec  float64 `json:"storeCallsPerSecond"`
	RegionLinkBytes   int64   `json:"regionLinkBytes"`
	DaemonCPUSeconds  float64 `json:"daemonCpuSeconds"`
	DaemonMaxRSSBytes int64   `json:"daemonMaxRssBytes"`
	// LateP99Ms is the lateness of the load generator itself; a large value spoils the run.
	LateP99Ms float64 `json:"generatorLateP99Ms"`
	Series    []Point `json:"series"`
}

// Point is one second of the run.
type Point struct {
	Second int `json:"second"`
	Calls  int `json:"calls"`
	InTime int `json:"inTime"`
}

// latencies collects a latency.
type latencies struct {
	histogram *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{histogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (l latencies) add(d time.Duration) {
	micros := min(max(1, d.Microseconds()), histogramMax)
	_ = l.histogram.RecordValue(micros) // The value is within the bounds.
}

func (l latencies) quantile(percent float64) float64 {
	const microsPerMilli = 1000
	return float64(l.histogram.ValueAtQuantile(percent)) / microsPerMilli
}

func (l latencies) quantiles() Quantiles {
	return Quantiles{P50: l.quantile(50), P95: l.quantile(95), P99: l.quantile(99)}
}

// Summarise fills the caller-side part of a report.
func Summarise(report *Report, observations []Observation, targets map[string]Targets, order time.Duration) {
	first, between, late := newLatencies(), newLatencies(), newLatencies()
	report.Outcomes = make(map[string]int)
	report.Problems = make(map[string]int)
	report.Members = make(map[string]MemberReport)
	report.Series = make([]Point, int(report.Seconds)+1)
	complete := 0
	for _, o := range observations {
		inTime := InTime(o, targets, order)
		report.Calls++
		late.add(o.Lateness)
		report.Outcomes[outcomeOf(o)]++
		if o.Problem != "" {
			report.Problems[string(o.Problem)]++
		}
		if o.Complete {
			complete++
		}
		if o.Tokens > 0 {
			first.add(o.FirstToken)
		}
		if o.Tokens > 1 {
			between.add(o.BetweenTokens)
		}
		report.count(o, inTime)
	}
	report.Attainment = ratio(report.InTime, report.Calls)
	report.AttainmentPerAccelerator = float64(report.InTime) / float64(max(1, report.Accelerators)) / report.Seconds
	report.Goodput = float64(complete) / report.Seconds
	report.FirstToken = first.quantiles()
	report.BetweenTokens = between.quantiles()
	report.LateP99Ms = late.quantile(99)
}

func (r *Report) count(o Observation, inTime bool) {
	m := r.Members[o.Arrival.Member]
	m.Calls++
	m.Tokens += o.Tokens
	second := min(int(o.Arrival.At.Seconds()), len(r.Series)-1)
	r.Series[second].Second = second
	r.Series[second].Calls++
	if inTime {
		r.InTime++
		m.InTime++
		r.Series[second].InTime++
	}
	m.Attainment = ratio(m.InTime, m.Calls)
	r.Members[o.Arrival.Member] = m
}

func outcomeOf(o Observation) string {
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

// CheckOrders compares what callers were told with what the services ran.
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
