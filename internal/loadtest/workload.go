// Package loadtest generates open-loop load from a fixed seed, measures the responses as callers see them, and runs
// experiments against daemon processes with stand-ins on loopback.
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

// CallKind distinguishes model calls from orders. In this package, an order is a caller's call of a plain service
// (config.PlainService) that must not be repeated; it is not an engine.Order.
type CallKind string

const (
	// ModelCall is a streamed chat completion.
	ModelCall CallKind = "model"
	// OrderCall is a service call that must not be repeated.
	OrderCall CallKind = "order"
)

// Arrival is a scheduled call.
type Arrival struct {
	// At is the time since the start of the schedule. In the observations of an experiment, it is the time since the
	// end of the warm-up.
	At     time.Duration
	Kind   CallKind
	Member string
	// Model is a model or adapter id; empty for an order.
	Model string
	// Prompt is empty in the observations of an experiment.
	Prompt       string
	OutputTokens int
	// OrderID is the id of an order and also its idempotency key.
	OrderID string
}

// Mix describes a stream of calls of one member. A member may have several mixes.
type Mix struct {
	Member string
	// RequestsPerSecond is the mean rate before RateFactor is applied.
	RequestsPerSecond float64
	// OrderFraction is the fraction of the calls that are orders, 0 to 1.
	OrderFraction float64
	// Models are the ids that the member calls. Unless ModelIndexAt is set, the most popular model is the first: the
	// popularity of Models[i] is proportional to 1/(i+1).
	Models []string
	// RateFactor returns the factor by which RequestsPerSecond is multiplied at the given time, at most maxRateFactor;
	// nil means a factor of 1.
	RateFactor func(at time.Duration) float64
	// ModelIndexAt returns the index in Models of the model that has the given popularity rank, counted from 0, at the
	// given time. If it is nil, the index equals the rank.
	ModelIndexAt func(at time.Duration, rank int) int
	// MeanPromptWords is the mean number of words of a prompt after the shared instructions, MeanOutputTokens the mean
	// number of tokens of a response before the limit maxOutputTokens. Both lengths have a geometric distribution.
	MeanPromptWords  int
	MeanOutputTokens int
}

const (
	// sharedPrefixWords is the length of the instructions with which all prompts of a model begin.
	sharedPrefixWords = 200
	// maxRateFactor is the upper bound of RateFactor. Arrivals are drawn at this multiple of the rate and then thinned.
	maxRateFactor = 10
	// maxOutputTokens limits the length of one response.
	maxOutputTokens = 512
)

// Schedule returns the arrivals of all mixes, ordered by time. The arrivals of each mix are a Poisson process, drawn
// from the seed.
func Schedule(mixes []Mix, duration time.Duration, seed uint64) []Arrival {
	var all []Arrival
	for i, mix := range mixes {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, mix.arrivals(duration, random)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// arrivals draws a Poisson process of the maximum rate and thins it: it keeps each arrival with a probability equal to
// the ratio of the rate at that time to the maximum rate.
func (m Mix) arrivals(duration time.Duration, random *rand.Rand) []Arrival {
	maxRate := m.RequestsPerSecond
	if m.RateFactor != nil {
		maxRate *= maxRateFactor
	}
	if maxRate <= 0 {
		return nil
	}
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
		if at >= duration {
			return arrivals
		}
		if m.RateFactor != nil && random.Float64() > m.RateFactor(at)/maxRateFactor {
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
	// The index is the popularity rank unless ModelIndexAt is set.
	index := zipf(len(m.Models), random)
	if m.ModelIndexAt != nil {
		index = m.ModelIndexAt(at, index) % len(m.Models)
	}
	a.Model = m.Models[index]
	a.Prompt = newPrompt(a.Model, geometric(m.MeanPromptWords, random), random)
	a.OutputTokens = min(maxOutputTokens, geometric(m.MeanOutputTokens, random))
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

// newPrompt returns the shared instructions of the model, followed by random words.
func newPrompt(model string, words int, random *rand.Rand) string {
	var b strings.Builder
	b.WriteString(sharedPrefix(model))
	for range words {
		b.WriteByte('w')
		b.WriteString(strconv.Itoa(random.IntN(10_000)))
		b.WriteByte(' ')
	}
	return b.String()
}

// sharedPrefixes caches the instructions of each model, since a schedule has many thousand prompts for a few models.
var sharedPrefixes sync.Map

func sharedPrefix(model string) string {
	if prefix, ok := sharedPrefixes.Load(model); ok {
		return prefix.(string)
	}
	var b strings.Builder
	for i := range sharedPrefixWords {
		fmt.Fprintf(&b, "%s-rule-%d ", model, i)
	}
	sharedPrefixes.Store(model, b.String())
	return b.String()
}

// CallableModels returns the ids of the models that a member may call, then those of the adapters, each in the order of
// the records.
func CallableModels(records config.Records, member string) []string {
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
