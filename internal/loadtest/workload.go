// Package loadtest generates open-loop load from a fixed seed, measures what callers see, and runs experiments against
// daemons as separate processes with stand-ins on loopback.
package loadtest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// CallKind tells model calls from orders.
type CallKind string

const (
	// ModelCall is a streamed chat completion.
	ModelCall CallKind = "model"
	// OrderCall is a service call that must not be repeated.
	OrderCall CallKind = "order"
)

// Arrival is one call of the schedule.
type Arrival struct {
	// At is the time since the start of the experiment.
	At     time.Duration
	Kind   CallKind
	Member string
	// Model is a model or adapter id; empty for an order.
	Model        string
	Prompt       string
	OutputTokens int
	// OrderID names an order; its idempotency key is derived from it.
	OrderID string
}

// Mix describes the load of one member.
type Mix struct {
	Member string
	// RequestsPerSecond is the mean rate before Shape is applied.
	RequestsPerSecond float64
	// OrderFraction is the part of the calls that are orders, 0 to 1.
	OrderFraction float64
	// Models are the ids that the member calls, most popular first; popularity falls off as 1/rank.
	Models []string
	// Shape scales the rate over time; nil means 1.
	Shape func(at time.Duration) float64
	// Popularity reorders models over time; nil means the order of Models at all times.
	Popularity func(at time.Duration, rank int) int
	// PromptWords and OutputTokens are means of the lengths, which are distributed geometrically.
	PromptWords  int
	OutputTokens int
}

const (
	// sharedPrefixWords is the length of the instructions that all prompts of a model begin with.
	sharedPrefixWords = 200
	// maxShape bounds Shape, for thinning.
	maxShape = 10
	// maxOutputTokens bounds one response.
	maxOutputTokens = 512
)

// Schedule draws the arrivals of all mixes as Poisson processes from the seed, ordered by time.
func Schedule(mixes []Mix, duration time.Duration, seed uint64) []Arrival {
	var all []Arrival
	for i, mix := range mixes {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, mix.arrivals(duration, random)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// arrivals thins a Poisson process of the highest rate down to the rate of the time.
func (m Mix) arrivals(duration time.Duration, random *rand.Rand) []Arrival {
	highest := m.RequestsPerSecond
	if m.Shape != nil {
		highest *= maxShape
	}
	if highest <= 0 {
		return nil
	}
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if at >= duration {
			return arrivals
		}
		if m.Shape != nil && random.Float64() > m.Shape(at)/maxShape {
			continue
		}
		arrivals = append(arrivals, m.arrival(at, len(arrivals), random))
	}
}

func (m Mix) arrival(at time.Duration, number int, random *rand.Rand) Arrival {
	a := Arrival{At: at, Kind: ModelCall, Member: m.Member}
	if random.Float64() < m.OrderFraction {
		a.Kind = OrderCall
		a.OrderID = fmt.Sprintf("%s-order-%d", m.Member, number)
		return a
	}
	rank := zipf(len(m.Models), random)
	if m.Popularity != nil {
		rank = m.Popularity(at, rank) % len(m.Models)
	}
	a.Model = m.Models[rank]
	a.Prompt = prompt(a.Model, geometric(m.PromptWords, random), random)
	a.OutputTokens = min(maxOutputTokens, geometric(m.OutputTokens, random))
	return a
}

// zipf draws a rank below n with probability proportional to 1/(rank+1).
func zipf(n int, random *rand.Rand) int {
	total := 0.0
	for rank := range n {
		total += 1 / float64(rank+1)
	}
	draw := random.Float64() * total
	for rank := range n {
		draw -= 1 / float64(rank+1)
		if draw < 0 {
			return rank
		}
	}
	return n - 1
}

// geometric draws a length of at least 1 with the given mean.
func geometric(mean int, random *rand.Rand) int {
	if mean <= 1 {
		return 1
	}
	p := 1 / float64(mean)
	return 1 + int(math.Log(1-random.Float64())/math.Log(1-p))
}

// prompt is the model's shared instructions followed by words of this call only.
func prompt(model string, words int, random *rand.Rand) string {
	var b strings.Builder
	b.WriteString(sharedPrefix(model))
	for range words {
		b.WriteByte('w')
		b.WriteString(strconv.Itoa(random.IntN(10_000)))
		b.WriteByte(' ')
	}
	return b.String()
}

// prefixes holds the instructions of each model, since a schedule has many thousand prompts of a few models.
var prefixes sync.Map

func sharedPrefix(model string) string {
	if known, ok := prefixes.Load(model); ok {
		return known.(string)
	}
	var b strings.Builder
	for i := range sharedPrefixWords {
		fmt.Fprintf(&b, "%s-rule-%d ", model, i)
	}
	prefixes.Store(model, b.String())
	return b.String()
}

// ModelsOf returns the ids that a member may call, models first, each group by name.
func ModelsOf(records config.Records, member string) []string {
	var models, adapters []string
	for _, m := range records.Models {
		if m.MayCall(member) {
			models = append(models, m.Name)
		}
	}
	for _, a := range records.Adapters {
		if a.MayCall(member) {
			adapters = append(adapters, a.Name)
		}
	}
	return append(models, adapters...)
}
