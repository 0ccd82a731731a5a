package dispatch_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
	"github.com/mulberryglade/mulberryglade/pkg/dispatch"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/retry"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

func TestDispatch(t *testing.T) {
	testkit.RunSpecs(t, "dispatch")
}

// fakeGate is an admission.Gate that returns its targets in order, without the excluded ones. Its tickets panic when
// they are released twice.
type fakeGate struct {
	targets []engine.Target

	mu          sync.Mutex
	openTickets int
	tokens      int
	results     []admission.Result
}

func (g *fakeGate) Acquire(ctx context.Context, request scheduling.Request) (admission.Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for _, target := range g.targets {
		if !slices.Contains(request.Exclude, target.Name) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.openTickets++
			return &ticket{gate: g, target: target}, nil
		}
	}
	return nil, problem.New(problem.TypeNoEndpoint, 503, problem.NotRun, "No endpoint is left.")
}

type ticket struct {
	gate     *fakeGate
	target   engine.Target
	released bool
}

func (t *ticket) Target() engine.Target         { return t.target }
func (t *ticket) Decision() scheduling.Decision { return scheduling.Decision{} }
func (t *ticket) RecordTokens(count int) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.tokens += count
}
func (t *ticket) Release(result admission.Result) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.released {
		panic("ticket released twice")
	}
	t.released = true
	t.gate.openTickets--
	t.gate.results = append(t.gate.results, result)
}

func (g *fakeGate) statuses() []admission.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []admission.Status
	for _, r := range g.results {
		all = append(all, r.Status)
	}
	return all
}

func newOptions(g *fakeGate, retryBudget float64) dispatch.Options {
	return dispatch.Options{
		Gate:   g,
		Budget: retry.NewBudget(func() retry.Limits { return retry.Limits{FloorPerSecond: retryBudget, Burst: retryBudget} }),
		Now:    func() time.Time { return time.Unix(1000, 0) },
		Sleep:  func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	}
}

// claimer is an in-memory claims.Claimer.
type claimer struct {
	err          error
	recorded     map[string]claims.Response
	hashes       map[string][32]byte
	activeClaims map[string]bool
}

func newClaimer() *claimer {
	return &claimer{
		recorded:     make(map[string]claims.Response),
		hashes:       make(map[string][32]byte),
		activeClaims: make(map[string]bool),
	}
}

func (c *claimer) Claim(_ context.Context, r claims.Request) (claims.Grant, *claims.Response, error) {
	if c.err != nil {
		return nil, nil, c.err
	}
	if hash, used := c.hashes[r.Key]; used && hash != r.Hash {
		return nil, nil, claims.ErrKeyReused
	}
	if response, ok := c.recorded[r.Key]; ok {
		return nil, &response, nil
	}
	if c.activeClaims[r.Key] {
		return nil, nil, claims.ErrOutcomeUnknown
	}
	c.hashes[r.Key] = r.Hash
	c.activeClaims[r.Key] = true
	return &grant{claimer: c, key: r.Key}, nil, nil
}

type grant struct {
	claimer *claimer
	key     string
}

func (g *grant) Complete(_ context.Context, response claims.Response) error {
	g.claimer.recorded[g.key] = response
	return nil
}

func (g *grant) Release(context.Context) error {
	delete(g.claimer.activeClaims, g.key)
	delete(g.claimer.hashes, g.key)
	return nil
}
