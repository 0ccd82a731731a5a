package loadtest

import (
	"math"
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
	// Tokens are the output tokens received and Demanded those that its calls asked for.
	Tokens   int `json:"tokens"`
	Demanded int `json:"demandedTokens"`
	// FirstToken and Outcomes are as in Report.
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
	// InTime are the calls answered in time; Attainment is their part of all calls.
	InTime     int     `json:"inTime"`
	Attainment float64 `json:"attainment"`
	// AttainmentPerAccelerator is InTime per accelerator and second.
	AttainmentPerAccelerator float64 `json:"attainmentPerAcceleratorSecond"`
	// ShareError is the largest distance of a member's part of the delivered tokens from its fair part: the declared shares,
	// where what a member did not ask for goes to the others.
	ShareError float64 `json:"shareError"`
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
	// ModelMoves and AdapterMoves are the loads and unloads completed after the warm-up.
	ModelMoves        int     `json:"modelMoves"`
	AdapterMoves      int     `json:"adapterMoves"`
	ModelsWithoutCopy int     `json:"modelsWithoutCopyAtStart"`
	StoreCallsPerSec  float64 `json:"storeCallsPerSecond"`
	RegionLinkBytes   int64   `json:"regionLinkBytes"`
	// DaemonCPUSeconds is over all instances, DaemonMaxRSSBytes the largest of one.
	DaemonCPUSeconds  float64 `json:"daemonCpuSeconds"`
	DaemonMaxRSSBytes int64   `json:"daemonMaxRssBytes"`
	// Faults tells when each fault was injected and what failed about it or about the shutdown.
	Faults []string `json:"faults,omitempty"`
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
	report.Series = make([]Point, max(1, int(math.Ceil(report.Seconds))))
	for i := range report.Series {
		report.Series[i].Second = i
	}
	firstOf := make(map[string]latencies)
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
			if _, known := firstOf[o.Arrival.Member]; !known {
				firstOf[o.Arrival.Member] = newLatencies()
			}
			firstOf[o.Arrival.Member].add(o.FirstToken)
		}
		if o.Tokens > 1 {
			between.add(o.BetweenTokens)
		}
		report.count(o, inTime)
	}
	for name, m := range report.Members {
		if l, known := firstOf[name]; known {
			m.FirstToken = l.quantiles()
			report.Members[name] = m
		}
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
	if m.Outcomes == nil {
		m.Outcomes = make(map[string]int)
	}
	m.Outcomes[outcomeOf(o)]++
	m.Calls++
	m.Tokens += o.Tokens
	if o.Arrival.Kind == ModelCall {
		m.Demanded += o.Arrival.OutputTokens
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

// ShareError returns the largest distance of a member's part of the delivered tokens from its fair part, which divides the
// delivered tokens by the shares and gives no member more than it asked for.
func ShareError(members map[string]MemberReport, shares map[string]float64) float64 {
	delivered := 0.0
	open := make(map[string]float64)
	for name, m := range members {
		delivered += float64(m.Tokens)
		open[name] = shares[name]
	}
	if delivered == 0 {
		return 0
	}
	fair := fairParts(members, open, delivered)
	largest := 0.0
	for name, m := range members {
		largest = max(largest, math.Abs(float64(m.Tokens)-fair[name])/delivered)
	}
	return largest
}

// fairParts fills members by share until each has what it demanded or nothing is left.
func fairParts(members map[string]MemberReport, open map[string]float64, left float64) map[string]float64 {
	fair := make(map[string]float64)
	for len(open) > 0 {
		shares := 0.0
		for _, share := range open {
			shares += share
		}
		satisfied := ""
		for name, share := range open {
			if float64(members[name].Demanded) <= left*share/shares {
				satisfied = name
			}
		}
		if satisfied == "" {
			for name, share := range open {
				fair[name] = left * share / shares
			}
			return fair
		}
		fair[satisfied] = float64(members[satisfied].Demanded)
		left -= fair[satisfied]
		delete(open, satisfied)
	}
	return fair
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
