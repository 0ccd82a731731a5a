package daemon

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/demand"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/peer"
)

// fixedReporter returns the same report for each endpoint.
type fixedReporter struct {
	report engine.Report
}

func (f fixedReporter) Report(context.Context, engine.Target) (engine.Report, error) {
	return f.report, nil
}

func (f fixedReporter) CacheEvents(context.Context, engine.Target, int64) ([]engine.CacheEvent, error) {
	return nil, nil
}

func newTestExchange(id string, reporter engine.Reporter) *peerExchange {
	var records config.Records
	records.Services = []config.Service{{Header: config.Header{Name: "assist"}, Type: config.EngineService}}
	for i := range 30 {
		records.Endpoints = append(records.Endpoints, config.Endpoint{
			Header: config.Header{Name: fmt.Sprint("e", i)}, Service: "assist", DataCentre: "kathmandu-a", MaxConcurrentRequests: 32,
		})
	}
	options := endpoints.Options{Instance: id, DataCentre: "kathmandu-a"}
	registry := endpoints.NewRegistry(reporter, nil, zap.NewNop(), options)
	registry.Apply(config.NewSnapshot(1, time.Time{}, records))
	return newPeerExchange(registry, fairshare.NewAccountant(fairshare.DefaultWeights()), demand.NewTracker(), nil)
}

// Guards against a report field, artifact kind or artifact state that is lost between the instance that polls an
// endpoint and the instance that routes calls to it, and against a report age that restarts at the receiver.
func TestReportsPassUnchangedFromPollerToPeer(t *testing.T) {
	artifact := func(kind engine.ArtifactKind, name string, state engine.ArtifactState) engine.LoadedArtifact {
		return engine.LoadedArtifact{Artifact: engine.Artifact{Kind: kind, Name: name, Version: "3"}, State: state}
	}
	cases := map[string]engine.Report{
		"busy": {
			Incarnation: "7", Running: 30, Waiting: 4, MaxRunning: 32, KVCacheUsage: 0.875, Role: "serve",
			PrefillTokensPerSecond: 5200, DecodeTokensPerSecond: 410,
			Artifacts: []engine.LoadedArtifact{
				artifact(engine.KindModel, "menu", engine.StateLoaded),
				artifact(engine.KindModel, "notes", engine.StateLoading),
				artifact(engine.KindAdapter, "ilam", engine.StateUnloading),
			},
		},
		"idle":    {Incarnation: "7", MaxRunning: 32},
		"leaving": {Incarnation: "8", MaxRunning: 32, Leaving: true},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sender := newTestExchange("a", fixedReporter{report: want})
				receiver := newTestExchange("b", nil)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				sender.registry.Run(ctx)
				load := sender.Load()
				g.Expect(load.Reports).To(HaveLen(30))
				time.Sleep(time.Second)
				receiver.SetLoad("a", load)
				sent, _ := sender.registry.State("e7")
				got, _ := receiver.registry.State("e7")
				g.Expect(*got.Report).To(Equal(want))
				g.Expect(got.Leaving).To(Equal(want.Leaving))
				g.Expect(got.ReportAge).To(Equal(sent.ReportAge))
				g.Expect(receiver.Load().Reports).To(BeEmpty(), "received reports are not sent as own reports")
			})
		})
	}
}

// Guards against out-of-range values in a faulty engine's report, which peer messages cannot hold.
func TestReportsOutOfRangeAreBounded(t *testing.T) {
	g := NewWithT(t)
	report := engine.Report{Running: -1, Waiting: 1 << 40, DecodeTokensPerSecond: -3, KVCacheUsage: 1}
	got := reportFromPeer(1, reportToPeer(endpoints.SharedReport{EndpointHash: 1, Report: report})).Report
	g.Expect(got.Running).To(BeZero())
	g.Expect(got.Waiting).To(Equal(1<<32 - 1))
	g.Expect(got.DecodeTokensPerSecond).To(BeZero())
	g.Expect(got.KVCacheUsage).To(Equal(1.0))
	g.Expect(reportFromPeer(1, peer.EndpointReport{}).Failed).To(BeTrue(), "a message without inventory is a failed report")
}
