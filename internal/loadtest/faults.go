package loadtest

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// injectFaults injects the scenario's faults in order. The measured time starts at measuredFrom.
func (r *run) injectFaults(ctx context.Context, measuredFrom time.Time) {
	for _, f := range r.Scenario.Faults {
		sleepUntil(ctx, measuredFrom.Add(time.Duration(f.AtFraction*float64(r.Duration))))
		if ctx.Err() != nil {
			return
		}
		injectedAt := time.Since(measuredFrom)
		err := r.inject(ctx, f.Fault)
		if err != nil {
			r.recordEvent("%.1f s: %s: %v", injectedAt.Seconds(), f.Fault, err)
			continue
		}
		r.recordEvent("%.1f s to %.1f s: %s", injectedAt.Seconds(), time.Since(measuredFrom).Seconds(), f.Fault)
	}
}

func (r *run) inject(ctx context.Context, fault Fault) error {
	switch fault {
	case KillEngine:
		r.testEnv.Engines[slices.Sorted(maps.Keys(r.testEnv.Engines))[0]].Down()
	case KillDaemon:
		r.fleet.All()[0].Kill()
	case StoreDown, StoreUp:
		r.testEnv.Store.Faults.SetDown(fault == StoreDown)
	case CutRegions, JoinRegions:
		r.network.SetRegionsCut(fault == CutRegions)
	case NewAdapterVersions:
		return r.testEnv.Change(ctx, "new-adapter-versions", changeAdapterVersion)
	case ReplaceDaemons:
		return r.replaceDaemons(ctx)
	default:
		return errors.Newf("unknown fault %q", fault)
	}
	return nil
}

func changeAdapterVersion(kind config.Kind, fields map[string]any) {
	if kind != config.KindAdapter {
		return
	}
	if version, ok := fields["version"].(string); ok {
		fields["version"] = version + "-next"
	}
}

// replaceDaemons replaces the instances one by one: it stops an instance gracefully, starts its successor on the same
// addresses and waits until it is ready.
func (r *run) replaceDaemons(ctx context.Context) error {
	for _, i := range r.fleet.All() {
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "the run ended before all instances were replaced")
		}
		if err := i.Terminate(); err != nil {
			return errors.Wrapf(err, "shut down instance %q", i.Settings.InstanceID)
		}
		successor, err := r.fleet.Start(i.Settings)
		if err != nil {
			return err
		}
		if err := successor.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
