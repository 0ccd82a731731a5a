package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/examples"
	standinengine "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/internal/testbed"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/daemon"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/telemetry"
)

const (
	// timeScale reduces the times of the emulated engines to a tenth, so that a demonstration is short.
	timeScale = 0.1
	// loadsPerSecond is ten times the rate of the weight store in the sample declarations, to match timeScale.
	loadsPerSecond = 10
	// readyTimeout limits the wait for the first copies of all models.
	readyTimeout = 2 * time.Minute
	pollInterval = 100 * time.Millisecond
)

// system is a deployment that runs in this process.
type system struct {
	options options
	testEnv *testbed.Testbed
	daemons []*daemon.Daemon
	cancel  context.CancelFunc
	group   conc.WaitGroup
}

func startSystem(ctx context.Context, o options) (*system, error) {
	log, err := telemetry.NewLogger(o.LogLevel)
	if err != nil {
		return nil, err
	}
	testEnv, err := testbed.Start(testbed.Options{
		Declarations: examples.Files,
		Folder:       o.Deployment,
		Engine: func(config.Endpoint) standinengine.Options {
			return standinengine.Options{Timing: standinengine.DefaultTiming(), TimeScale: timeScale}
		},
		Adjust: scaleLoadRate,
	})
	if err != nil {
		return nil, err
	}
	if err := testEnv.Apply(ctx, "initial"); err != nil {
		testEnv.Close()
		return nil, err
	}
	daemonCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &system{options: o, testEnv: testEnv, cancel: cancel}
	if err := s.startDaemons(daemonCtx, log); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// scaleLoadRate adapts the rate of the weight store to the speed of the emulated engines.
func scaleLoadRate(kind config.Kind, fields map[string]any) {
	if kind == config.KindDeployment {
		fields["modelLoadsPerSecond"] = json.Number(strconv.Itoa(loadsPerSecond))
	}
}

// startDaemons starts one entry instance per data centre. Each instance has all earlier ones as seed peers.
func (s *system) startDaemons(ctx context.Context, log *zap.Logger) error {
	var seeds []string
	for _, d := range s.testEnv.TypedRecords.DataCentres {
		instanceSettings := s.testEnv.Settings("entry-"+d.Name, d.Name, "127.0.0.1")
		instanceSettings.SeedPeers = seeds
		instanceSettings.Shutdown.GraceMs = 0
		instance, err := daemon.New(instanceSettings, log)
		if err != nil {
			return errors.Wrapf(err, "create instance in data centre %q", d.Name)
		}
		seeds = append(seeds, instance.Addresses().Peer)
		s.daemons = append(s.daemons, instance)
		s.group.Go(func() {
			if err := instance.Run(ctx); err != nil {
				log.Error("instance stopped with an error", zap.Error(err))
			}
		})
	}
	return nil
}

func (s *system) stop() {
	s.cancel()
	s.group.Wait()
	s.testEnv.Close()
}

// waitUntilReady waits until all instances are ready and each model has a loaded copy.
func (s *system) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	fmt.Println("Waiting for the first copies of all models ...")
	for {
		notReadyReason := s.notReadyReason()
		if notReadyReason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("not ready in time: %s", notReadyReason)
		case <-time.After(pollInterval):
		}
	}
}

func (s *system) notReadyReason() string {
	for _, d := range s.daemons {
		status, _, err := fasthttp.Get(nil, "http://"+d.Addresses().Admin+"/readyz")
		if err != nil || status != fasthttp.StatusOK {
			return "an instance has no configuration"
		}
	}
	for _, m := range s.testEnv.TypedRecords.Models {
		if !s.hasLoadedCopy(engine.Artifact{Kind: engine.KindModel, Name: m.Name, Version: m.Version}) {
			return fmt.Sprintf("model %q has no loaded copy", m.Name)
		}
	}
	return ""
}

func (s *system) hasLoadedCopy(artifact engine.Artifact) bool {
	for _, e := range s.testEnv.Engines {
		if e.Memory().Loaded(artifact) {
			return true
		}
	}
	return false
}

func (s *system) printAddresses() {
	fmt.Printf("Store  %s\n", s.testEnv.StoreURL)
	for i, d := range s.testEnv.TypedRecords.DataCentres {
		a := s.daemons[i].Addresses()
		fmt.Printf("%-12s callers http://%s  admin http://%s\n", d.Name, a.Caller, a.Admin)
	}
}
