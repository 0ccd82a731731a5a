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
	// timeScale makes the emulated engines run at a tenth of their time, so that a demonstration is short.
	timeScale = 0.1
	// loadsPerSecond is ten times the weight store's rate in the sample declarations, to match timeScale.
	loadsPerSecond = 10
	// readyTimeout bounds the wait for the first copies of all models.
	readyTimeout = 2 * time.Minute
	pollInterval = 100 * time.Millisecond
)

// system is a deployment in this process.
type system struct {
	options options
	bed     *testbed.Testbed
	daemons []*daemon.Daemon
	cancel  context.CancelFunc
	group   conc.WaitGroup
}

func startSystem(ctx context.Context, o options) (*system, error) {
	log, err := telemetry.NewLogger(o.LogLevel)
	if err != nil {
		return nil, err
	}
	bed, err := testbed.Start(testbed.Options{
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
	if err := bed.Apply(ctx, "initial"); err != nil {
		bed.Close()
		return nil, err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &system{options: o, bed: bed, cancel: cancel}
	if err := s.startDaemons(running, log); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// scaleLoadRate lets the weight store run at the speed of the emulated engines.
func scaleLoadRate(kind config.Kind, fields map[string]any) {
	if kind == config.KindDeployment {
		fields["modelLoadsPerSecond"] = json.Number(strconv.Itoa(loadsPerSecond))
	}
}

// startDaemons starts one entry instance per data centre; the first is the seed of the others.
func (s *system) startDaemons(ctx context.Context, log *zap.Logger) error {
	var seeds []string
	for _, d := range s.bed.Typed.DataCentres {
		set := s.bed.Settings("entry-"+d.Name, d.Name, "127.0.0.1")
		set.SeedPeers = seeds
		set.Shutdown.GraceMs = 0
		instance, err := daemon.New(set, log)
		if err != nil {
			return errors.Wrapf(err, "instance in %q", d.Name)
		}
		seeds = append(seeds, instance.Addresses().Peer)
		s.daemons = append(s.daemons, instance)
		s.group.Go(func() {
			if err := instance.Run(ctx); err != nil {
				log.Error("instance ended", zap.Error(err))
			}
		})
	}
	return nil
}

func (s *system) stop() {
	s.cancel()
	s.group.Wait()
	s.bed.Close()
}

// waitUntilReady waits until the instances have a configuration and each model has a loaded copy.
func (s *system) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	fmt.Println("Waiting for the first copies of all models ...")
	for {
		missing := s.missing()
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("not ready in time: %s", missing)
		case <-time.After(pollInterval):
		}
	}
}

func (s *system) missing() string {
	for _, d := range s.daemons {
		status, _, err := fasthttp.Get(nil, "http://"+d.Addresses().Admin+"/readyz")
		if err != nil || status != fasthttp.StatusOK {
			return "an instance has no configuration"
		}
	}
	for _, m := range s.bed.Typed.Models {
		if !s.loaded(engine.Artifact{Kind: engine.KindModel, Name: m.Name, Version: m.Version}) {
			return fmt.Sprintf("model %q has no loaded copy", m.Name)
		}
	}
	return ""
}

func (s *system) loaded(artifact engine.Artifact) bool {
	for _, e := range s.bed.Engines {
		if e.Memory().Loaded(artifact) {
			return true
		}
	}
	return false
}

func (s *system) printAddresses() {
	fmt.Printf("Store  %s\n", s.bed.StoreURL)
	for i, d := range s.bed.Typed.DataCentres {
		a := s.daemons[i].Addresses()
		fmt.Printf("%-12s callers http://%s  admin http://%s\n", d.Name, a.Caller, a.Admin)
	}
}
