package endpoints_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

const (
	// benchDataCentres and benchInstances are the numbers of data centres and instances of the design size.
	benchDataCentres = 14
	benchInstances   = 28
)

func benchSnapshot(size int) *config.Snapshot {
	records := config.Records{Services: []config.Service{{Header: config.Header{Name: "s"}, Type: config.EngineService}}}
	for i := range size {
		records.Endpoints = append(records.Endpoints, config.Endpoint{
			Header: config.Header{Name: fmt.Sprintf("endpoint-%04d", i)}, Service: "s", DataCentre: fmt.Sprint("dc", i%benchDataCentres),
			URL: "http://127.0.0.1:1", MaxConcurrentRequests: 32,
		})
	}
	return config.NewSnapshot(1, time.Time{}, records)
}

func benchReport(i int) engine.Report {
	report := engine.Report{Incarnation: "1", Running: 10, MaxRunning: 32, DecodeTokensPerSecond: 400}
	for k := range 5 {
		report.Artifacts = append(report.Artifacts, engine.LoadedArtifact{
			Artifact: engine.Artifact{Kind: engine.KindModel, Name: fmt.Sprint("model-", (i*5+k)%1700), Version: "3"},
			State:    engine.StateLoaded,
		})
	}
	return report
}

func sharedReports(size int, polledAt time.Time) []endpoints.SharedReport {
	reports := make([]endpoints.SharedReport, size)
	for i := range reports {
		reports[i] = endpoints.SharedReport{
			EndpointHash: endpoints.HashName(fmt.Sprintf("endpoint-%04d", i)), Report: benchReport(i), PolledAt: polledAt,
		}
	}
	return reports
}

func benchRegistry() *endpoints.Registry {
	fake := newFakeReporter()
	r := endpoints.NewRegistry(fake, fake, zap.NewNop(), endpoints.Options{Instance: "self", DataCentre: "dc0"})
	others := make([]string, 0, benchInstances-1)
	for i := range benchInstances - 1 {
		others = append(others, fmt.Sprint("instance-", i))
	}
	r.SetInstances(others)
	return r
}

// BenchmarkRegistryMemory measures the heap and stack memory per endpoint of a running registry, with five artifacts in
// each report.
func BenchmarkRegistryMemory(b *testing.B) {
	for _, size := range []int{700, 1400, 2800, 5600} {
		b.Run(fmt.Sprintf("endpoints=%d", size), func(b *testing.B) {
			snapshot := benchSnapshot(size)
			for b.Loop() {
				before := memoryInUse()
				r := benchRegistry()
				r.Apply(snapshot)
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					r.Run(ctx)
				}()
				r.SetReports("p", sharedReports(size, time.Now()))
				b.ReportMetric((memoryInUse()-before)/float64(size), "retainedB/endpoint")
				cancel()
				<-ended
			}
		})
	}
}

// BenchmarkRegistryIdle measures the processor time of a running registry as a percentage of one core. It includes the
// search for due polls, but not the work of an engine adapter.
func BenchmarkRegistryIdle(b *testing.B) {
	const runTime = 10 * time.Second
	for _, size := range []int{1400, 2800, 5600} {
		b.Run(fmt.Sprintf("endpoints=%d", size), func(b *testing.B) {
			r := benchRegistry()
			r.Apply(benchSnapshot(size))
			r.SetReports("p", sharedReports(size, time.Now()))
			for b.Loop() {
				ctx, cancel := context.WithTimeout(context.Background(), runTime)
				before := processorTime(b)
				r.Run(ctx)
				cancel()
				b.ReportMetric(100*float64(processorTime(b)-before)/float64(runTime), "core-percent")
			}
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memoryInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// BenchmarkSetReports measures how long a registry of the design size takes to store changed reports of a peer.
func BenchmarkSetReports(b *testing.B) {
	for _, size := range []int{14, 56, 224} {
		b.Run(fmt.Sprintf("reports=%d", size), func(b *testing.B) {
			r := benchRegistry()
			r.Apply(benchSnapshot(5600))
			polledAt := time.Now()
			for b.Loop() {
				polledAt = polledAt.Add(time.Millisecond)
				r.SetReports("p", sharedReports(size, polledAt))
			}
		})
	}
}
