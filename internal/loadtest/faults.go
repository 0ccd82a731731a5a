package loadtest

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// injectFaults injects the scenario's faults in order; began is the start of the measured time.
func (r *run) injectFaults(ctx context.Context, began time.Time) {
	for _, f := range r.Scenario.Faults {
		sleepUntil(ctx, began.Add(time.Duration(f.Part*float64(r.Duration))))
		if ctx.Err() != nil {
			return
		}
		at := time.Since(began)
		err := r.inject(ctx, f.Fault)
		if err != nil {
			r.note("%.1f s: %s: %v", at.Seconds(), f.Fault, err)
			continue
		}
		r.note("%.1f s to %.1f s: %s", at.Seconds(), time.Since(began).Seconds(), f.Fault)
	}
}

func (r *run) inject(ctx context.Context, fault Fault) error {
	switch fault {
	case KillEngine:
		r.bed.Engines[slices.Sorted(maps.Keys(r.bed.Engines))[0]].Down()
	case KillDaemon:
		r.fleet.All()[0].Kill()
	case StoreDown, StoreUp:
		r.bed.Store.Faults.SetDown(fault == StoreDown)
	case CutRegions, JoinRegions:
		r.network.CutRegions(fault == CutRegions)
	case NewVersions:
		return r.bed.Change(ctx, "new-adapter-versions", newVersion)
	case ReplaceDaemons:
		return r.replaceDaemons(ctx)
	default:
		return errors.Newf("unknown fault %q", fault)
	}
	return nil
}

func newVersion(kind config.Kind, fields map[string]any) {
	if kind != config.KindAdapter {
		return
	}
	if version, ok := fields["version"].(string); ok {
		fields["version"] = version + "-next"
	}
}

// replaceDaemons stops each instance gracefully and starts its successor on the same addresses before the next one stops.
func (r *run) replaceDaemons(ctx context.Context) error {
	for _, i := range r.fleet.All() {
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "the run ended before all instances were replaced")
		}
		if err := i.Terminate(); err != nil {
			return errors.Wrapf(err, "shutdown of %q", i.Settings.InstanceID)
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
