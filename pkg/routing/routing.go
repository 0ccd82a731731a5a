// Package routing holds the configuration in force: which service a request goes to and whether it may be repeated. It
// performs no I/O. The platform adapter decodes a configuration, and Table answers lookups in it.
package routing

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// Kind states how the requests of a route are answered and whether the system may repeat them. For Streaming that
// depends on Route.Resumable too; Route.Repeatable takes both into account.
type Kind int

const (
	// NonIdempotent requests run at most once for each attempt of the client.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by server-sent events; they run at most once unless the route is resumable.
	Streaming
)

// Config is one accepted configuration. It is immutable.
type Config struct {
	// Version increases with each configuration.
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   ClientLimits
	// Workspaces lists the workspaces, Keys has their API keys. Keys is nil if the configuration has no workspaces; then
	// no request needs a key.
	Workspaces []*Workspace
	Keys       *KeyIndex
	// Findings are the mistakes in parts of the configuration that are left out of it.
	Findings findings.List
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a client waits.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value; for streams, the time to the first event.
	TargetLatency time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// MaxAttempts bounds the number of endpoints to which one request may be sent.
	MaxAttempts int
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Public routes need no API key.
	Public  bool
	Targets []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts from all callers together; zero means
	// unknown.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// MemoryMB bounds the memory for weights and adapters at one endpoint.
	MemoryMB     float64
	AdapterSlots int
	// LoadsPerSecond is the weight store's rate of loads over all endpoints.
	LoadsPerSecond float64
	Models         map[string]*Model
}

// Model is one model that an engine may hold.
type Model struct {
	Name      string
	WeightsMB float64
	// AdapterCount is the number of adapters of the model.
	AdapterCount int
	AdapterMB    float64
	// FromStore, FromMemory and FromDisk are the load times by source of the weights.
	FromStore  time.Duration
	FromMemory time.Duration
	FromDisk   time.Duration
}

// ClientLimits bound what a client connection may send and how long it may take.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table answers lookups in one configuration.
type Table struct {
	Config *Config
	byHost map[string][]*Route
}

// NewTable indexes a configuration.
func NewTable(config *Config) *Table {
	t := &Table{Config: config, byHost: make(map[string][]*Route)}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	return t
}

// Lookup returns the host's route with the longest prefix of the path, or nil.
func (t *Table) Lookup(host, path string) *Route {
	var best *Route
	for _, route := range t.byHost[normalizeHost(host)] {
		if !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best
}

func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// ChooseService picks one of the route's services by weight.
func (t *Table) ChooseService(route *Route, random *rand.Rand) *Service {
	if len(route.Targets) == 0 {
		return nil
	}
	total := 0.0
	for _, target := range route.Targets {
		total += target.Weight
	}
	remaining := random.Float64() * total
	for _, target := range route.Targets {
		remaining -= target.Weight
		if remaining < 0 {
			return t.Config.Services[target.Service]
		}
	}
	return t.Config.Services[route.Targets[len(route.Targets)-1].Service]
}
