package loadtest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteReport writes a report to a JSON file.
func WriteReport(path string, r Report) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, append(text, '\n'), privateFileMode))
}

// writeCalls writes one JSON line per call. An empty path writes nothing.
func writeCalls(path string, observations []Observation) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer file.Close()
	encoder := json.NewEncoder(file)
	for _, o := range observations {
		if err := encoder.Encode(o); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(file.Sync())
}

// ReadReport reads a file that WriteReport wrote.
func ReadReport(path string) (Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Report{}, errors.WithStack(err)
	}
	var r Report
	return r, errors.Wrapf(json.Unmarshal(text, &r), "report %q", path)
}

// groupAcrossSeeds groups reports by deployment, scenario, policy, rate and duration, so that a group has the runs with
// different seeds. Groups are in the order of their first reports.
func groupAcrossSeeds(reports []Report) [][]Report {
	key := func(r Report) string {
		return fmt.Sprintf("%s/%s/%s/%g/%g", r.Deployment, r.Scenario, r.Policy, r.Rate, r.Seconds)
	}
	index := make(map[string]int)
	var list [][]Report
	for _, r := range reports {
		position, known := index[key(r)]
		if !known {
			position = len(list)
			index[key(r)] = position
			list = append(list, nil)
		}
		list[position] = append(list[position], r)
	}
	return list
}

// spread is the mean of several values with the lowest and the highest one.
type spread struct{ mean, low, high float64 }

func spreadOf(reports []Report, value func(Report) float64) spread {
	values := make([]float64, len(reports))
	total := 0.0
	for i, r := range reports {
		values[i] = value(r)
		total += values[i]
	}
	return spread{mean: total / float64(len(values)), low: slices.Min(values), high: slices.Max(values)}
}

// String omits the lowest and highest values if they are equal.
func (s spread) String() string {
	if s.low == s.high {
		return fmt.Sprintf("%.4g", s.mean)
	}
	return fmt.Sprintf("%.4g (%.4g-%.4g)", s.mean, s.low, s.high)
}

// columns are the columns of the table that PrintTable writes. Report describes the values.
//   - "in time/accel/s": the calls that met their targets, per accelerator and second
//   - "lowest quiet": the lowest attainment of a member other than the busiest
//   - "first", "between": the latencies of the first token and between tokens, in ms
//   - "store/s": the calls to the store per second
//   - "late": the delay of the load generator in sending calls
//   - "dup": the orders that ran more than once
//   - "ran": the orders that ran although their caller received the outcome not_run
//   - "memory": the loads that overcommitted an accelerator
var columns = []struct {
	name  string
	value func(Report) float64
}{
	{"attainment", func(r Report) float64 { return r.Attainment }},
	{"in time/accel/s", func(r Report) float64 { return r.InTimePerAcceleratorSecond }},
	{"lowest quiet", lowestAttainmentExceptBusiest},
	{"goodput/s", func(r Report) float64 { return r.Goodput }},
	{"model moves", func(r Report) float64 { return float64(r.ModelMoves) }},
	{"adapter moves", func(r Report) float64 { return float64(r.AdapterMoves) }},
	{"share error", func(r Report) float64 { return r.ShareError }},
	{"first p50", func(r Report) float64 { return r.FirstToken.P50 }},
	{"first p95", func(r Report) float64 { return r.FirstToken.P95 }},
	{"first p99", func(r Report) float64 { return r.FirstToken.P99 }},
	{"between p95", func(r Report) float64 { return r.BetweenTokens.P95 }},
	{"store/s", func(r Report) float64 { return r.StoreCallsPerSec }},
	{"link KB/s", func(r Report) float64 { return float64(r.RegionLinkBytes) / 1000 / r.Seconds }},
	{"cpu cores", func(r Report) float64 { return r.DaemonCPUSeconds / r.Seconds }},
	{"rss MB", func(r Report) float64 { return float64(r.DaemonMaxRSSBytes) / 1e6 }},
	{"late p99 ms", func(r Report) float64 { return r.LatenessP99Ms }},
	{"dup", func(r Report) float64 { return float64(r.DuplicateOrders) }},
	{"ran", func(r Report) float64 { return float64(r.NotRunOrdersThatRan) }},
	{"memory", func(r Report) float64 { return float64(r.MemoryViolations) }},
}

// lowestAttainmentExceptBusiest returns the lowest attainment among the members that have fewer calls than the busiest
// one, or 1 if there is none. If there is only one member, its attainment is returned.
func lowestAttainmentExceptBusiest(r Report) float64 {
	maxCalls, lowest := 0, 1.0
	for _, m := range r.Members {
		maxCalls = max(maxCalls, m.Calls)
	}
	for _, m := range r.Members {
		if m.Calls < maxCalls || len(r.Members) == 1 {
			lowest = min(lowest, m.Attainment)
		}
	}
	return lowest
}

// PrintTable writes a table with one row per group of groupAcrossSeeds. A cell has the mean over the group, followed by
// the lowest and highest values if they differ.
func PrintTable(w io.Writer, reports []Report) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "deployment\tscenario\tpolicy\tseeds")
	for _, c := range columns {
		fmt.Fprint(table, "\t", c.name)
	}
	fmt.Fprintln(table)
	for _, g := range groupAcrossSeeds(reports) {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d", g[0].Deployment, g[0].Scenario, g[0].Policy, len(g))
		for _, c := range columns {
			fmt.Fprint(table, "\t", spreadOf(g, c.value))
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
}

// MergeSeries returns one report per group of groupAcrossSeeds, ordered by policy. The time series of a returned report
// is the sum over its group; all other fields are those of the first report of the group. If the reports differ only in
// policy and seed, one report per policy is returned, for a plot with one line per policy.
func MergeSeries(reports []Report) []Report {
	var mergedReports []Report
	for _, g := range groupAcrossSeeds(reports) {
		mergedReport := g[0]
		mergedReport.Series = slices.Clone(mergedReport.Series)
		for _, r := range g[1:] {
			for i := range min(len(r.Series), len(mergedReport.Series)) {
				mergedReport.Series[i].Calls += r.Series[i].Calls
				mergedReport.Series[i].InTime += r.Series[i].InTime
			}
		}
		mergedReports = append(mergedReports, mergedReport)
	}
	slices.SortStableFunc(mergedReports, func(a, b Report) int { return cmp.Compare(a.Policy, b.Policy) })
	return mergedReports
}
