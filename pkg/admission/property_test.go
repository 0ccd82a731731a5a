package admission_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	// Fixes the seed of the property tests.
	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// step is one event of a generated history. Each kind uses some of the fields.
type step struct {
	kind          string
	member, model string
	exclude       []string
	bytes, call   int
	delay         time.Duration
	status        admission.Status
	loaded        bool
}

var drawStep = rapid.Custom(func(t *rapid.T) step {
	return step{
		kind:    rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "end", "cancel", "load", "wait"}).Draw(t, "kind"),
		member:  rapid.SampledFrom([]string{"a", "b", "limited"}).Draw(t, "member"),
		model:   rapid.SampledFrom([]string{"m", "n", "absent"}).Draw(t, "model"),
		exclude: rapid.SliceOfN(rapid.SampledFrom([]string{"e", "f"}), 0, 2).Draw(t, "exclude"),
		bytes:   rapid.IntRange(0, 600).Draw(t, "bytes"),
		call:    rapid.IntRange(0, 1000).Draw(t, "call"),
		delay:   time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond,
		status:  admission.Status(rapid.IntRange(0, 3).Draw(t, "status")),
		loaded:  rapid.Bool().Draw(t, "loaded"),
	}
})

// Guards against capacity that leaks or is exceeded, and against calls that stay queued or counted. The history has
// arrivals, ends, cancellations, reports that remove or restore a model, and delays in any order.
func TestCapacityIsConserved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(drawStep, 1, 80).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runHistory(t, steps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func runHistory(t *testing.T, steps []step) error {
	s := start(t, limitedRecords(), map[string]engine.Report{"e": loaded(2, "m"), "f": loaded(1, "m", "n")})
	defer s.stop()
	tickets := make(chan admission.Ticket, len(steps))
	failures := make(chan error, len(steps))
	var cancels []context.CancelFunc
	for _, st := range steps {
		switch st.kind {
		case "arrive":
			ctx, cancel := context.WithCancel(context.Background())
			cancels = append(cancels, cancel)
			go arrive(ctx, s, st, tickets, failures)
		case "end":
			release(tickets, st.status)
		case "cancel":
			if len(cancels) > 0 {
				cancels[st.call%len(cancels)]()
			}
		case "load":
			report := loaded(1)
			if st.loaded {
				report = loaded(1, "m", "n")
			}
			s.fakeReporter.set("f", report)
		case "wait":
			time.Sleep(st.delay)
		}
		synctest.Wait()
		for _, state := range s.registry.States("s") {
			if state.OwnInFlight < 0 || state.OwnInFlight > state.Report.MaxRunning {
				return errors.Newf("%s runs %d of %d", state.Endpoint.Name, state.OwnInFlight, state.Report.MaxRunning)
			}
		}
	}
	for range 20 {
		time.Sleep(time.Second)
		for release(tickets, admission.Succeeded) {
			synctest.Wait()
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
	synctest.Wait()
	if len(failures) > 0 {
		return <-failures
	}
	return checkIdle(s)
}

func arrive(ctx context.Context, s *testEnv, st step, tickets chan<- admission.Ticket, failures chan<- error) {
	ticket, err := s.controller.Acquire(ctx, request(func(r *scheduling.Request) {
		r.Member, r.Model, r.Exclude, r.Bytes = st.member, st.model, st.exclude, st.bytes
		r.Deadline = time.Now().Add(st.delay)
	}))
	refusal, ok := err.(*problem.Problem)
	switch {
	case err == nil:
		tickets <- ticket
	case ok && refusal.Outcome != problem.NotRun, !ok && ctx.Err() == nil:
		failures <- err
	}
}

// checkIdle returns an error if calls are still counted, or still use up the limit of a member, after all of them
// ended.
func checkIdle(s *testEnv) error {
	for _, state := range s.registry.States("s") {
		if state.OwnInFlight != 0 {
			return errors.Newf("%s still runs %d", state.Endpoint.Name, state.OwnInFlight)
		}
	}
	for _, usage := range s.shares.LocalUsages() {
		if usage.Waiting != 0 {
			return errors.Newf("%s still has %d waiting", usage.Member, usage.Waiting)
		}
	}
	for _, count := range s.demand.Total() {
		if count.Waiting != 0 {
			return errors.Newf("%s still has %d waiting", count.Model, count.Waiting)
		}
	}
	_, err := s.controller.Acquire(context.Background(), request(func(r *scheduling.Request) { r.Member = "limited" }))
	if err != nil {
		return fmt.Errorf("limited member: %w", err)
	}
	return nil
}

// release ends the oldest started call and reports whether there was one.
func release(tickets <-chan admission.Ticket, status admission.Status) bool {
	select {
	case ticket := <-tickets:
		ticket.Release(admission.Result{Status: status, InputTokens: 10, OutputTokens: 10})
		return true
	default:
		return false
	}
}
