// Package config holds the operators' declarations: typed records, their validation, the rules for two schema versions
// side by side, and the immutable Snapshot that all other packages read.
package config

import "time"

// Kind names the type of a record.
type Kind string

const (
	// KindDeployment is the single record with settings of the whole deployment.
	KindDeployment Kind = "Deployment"
	// KindDataCentre is a data centre and its region.
	KindDataCentre Kind = "DataCentre"
	// KindMember is a member with its share and keys.
	KindMember Kind = "Member"
	// KindService is a group of replicas: an engine service or a plain HTTP service.
	KindService Kind = "Service"
	// KindEndpoint is one replica of a service.
	KindEndpoint Kind = "Endpoint"
	// KindModel is a model that an engine service can load.
	KindModel Kind = "Model"
	// KindAdapter is an adapter of a model.
	KindAdapter Kind = "Adapter"
)

const (
	// SchemaVersion1 is the oldest schema version that is honoured.
	SchemaVersion1 = 1
	// SchemaVersion2 adds Model.FirstTokenTargetMs, Model.BetweenTokensTargetMs and Member.MaxConcurrentRequests.
	SchemaVersion2 = 2
	// NewestSchemaVersion is the newest version that this build reads in full.
	NewestSchemaVersion = SchemaVersion2
)

// Header is common to all records.
type Header struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// SchemaVersion is the version that the record was written in.
	SchemaVersion int `json:"schemaVersion"`
	// MinReaderVersion is the oldest version whose readers may use the record; zero means SchemaVersion1. A writer sets
	// it when an older reader would misread the record.
	MinReaderVersion int `json:"minReaderVersion,omitempty"`
}

// Deployment has the settings of the whole deployment.
type Deployment struct {
	Header
	// AttainmentWeight and MoveWeight state how much a request answered in time and a load, unload or relocation count
	// against each other.
	AttainmentWeight float64 `json:"attainmentWeight"`
	MoveWeight       float64 `json:"moveWeight"`
	// PlacementShards is the number of shards that the endpoints of a data centre are divided into for placement.
	PlacementShards int `json:"placementShards"`
	// ModelLoadsPerSecond and ConcurrentModelLoads are the limits of the weight store.
	ModelLoadsPerSecond  float64 `json:"modelLoadsPerSecond"`
	ConcurrentModelLoads int     `json:"concurrentModelLoads"`
	// ConcurrentAdapterLoads is the number of adapter loads in flight beyond which loads slow down.
	ConcurrentAdapterLoads int `json:"concurrentAdapterLoads"`
	// RegionLinkBitsPerSecond is the capacity of the link between regions, each way.
	RegionLinkBitsPerSecond int64 `json:"regionLinkBitsPerSecond"`
	// QueueRequests and QueueBytes bound the admission queue of one entry instance.
	QueueRequests int   `json:"queueRequests"`
	QueueBytes    int64 `json:"queueBytes"`
	// RetryBudgetRatio is the number of retries allowed per successful call, 0 to 1.
	RetryBudgetRatio float64 `json:"retryBudgetRatio"`
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	Header
	Region string `json:"region"`
}

// KeyHash identifies a bearer key without holding it.
type KeyHash struct {
	// Prefix is the first KeyPrefixLength characters of the key; it only narrows the search.
	Prefix string `json:"prefix"`
	// Salt is base64; Hash is base64 of SHA-256 over salt and key.
	Salt string `json:"salt"`
	Hash string `json:"hash"`
}

// KeyPrefixLength is the number of characters of a key that are kept in clear.
const KeyPrefixLength = 8

// Member is an organisation that shares the pool.
type Member struct {
	Header
	// Share is the member's weight in the fair share; only ratios between members matter.
	Share float64   `json:"share"`
	Keys  []KeyHash `json:"keys"`
	// MaxConcurrentRequests bounds the member's requests at one entry instance; zero means no bound. Schema version 2.
	MaxConcurrentRequests int `json:"maxConcurrentRequests,omitempty" since:"2"`
}

// ServiceType tells engine services from plain HTTP services.
type ServiceType string

const (
	// EngineService replicas are model engines.
	EngineService ServiceType = "engine"
	// PlainService replicas are plain HTTP servers.
	PlainService ServiceType = "plain"
)

// Service is a group of replicas.
type Service struct {
	Header
	Type ServiceType `json:"type"`
	// Members may call a plain service; an engine service's models name their own members.
	Members []string `json:"members,omitempty"`
	// Routes state which calls of a plain service may be repeated; the first match counts. A call without a match must
	// not be repeated.
	Routes           []Route `json:"routes,omitempty"`
	DefaultTimeoutMs int64   `json:"defaultTimeoutMs"`
	MaxTimeoutMs     int64   `json:"maxTimeoutMs"`
	MaxBodyBytes     int64   `json:"maxBodyBytes"`
}

// Route matches calls of a plain service.
type Route struct {
	// Method is an HTTP method, or "*".
	Method string `json:"method"`
	// PathPrefix matches whole path segments.
	PathPrefix string `json:"pathPrefix"`
	Repeatable bool   `json:"repeatable"`
	// RequireIdempotencyKey rejects calls without the header Idempotency-Key.
	RequireIdempotencyKey bool `json:"requireIdempotencyKey,omitempty"`
}

// Accelerator is one accelerator of an endpoint.
type Accelerator struct {
	MemoryBytes int64 `json:"memoryBytes"`
}

// Endpoint is one replica of a service.
type Endpoint struct {
	Header
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	// URL is http or https, an IP address and a port.
	URL string `json:"url"`
	// MaxConcurrentRequests is the declared limit of requests that the replica runs at once.
	MaxConcurrentRequests int `json:"maxConcurrentRequests"`
	// Accelerators is empty for a plain service.
	Accelerators []Accelerator `json:"accelerators,omitempty"`
	// ChecksFencing is true when the engine refuses orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Role is the role that the engine is to have; empty means "serve".
	Role string `json:"role,omitempty"`
	// Leaving marks an endpoint that is to receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Model is a model that an engine service can load.
type Model struct {
	Header
	Service string   `json:"service"`
	Members []string `json:"members"`
	Version string   `json:"version"`
	// WeightBytes is the size of the weights, divided evenly among the accelerators of a copy.
	WeightBytes int64 `json:"weightBytes"`
	// KVReserveBytes is the KV cache memory reserved for each copy, divided evenly in the same way.
	KVReserveBytes int64 `json:"kvReserveBytes"`
	// AcceleratorsPerCopy is the number of accelerators of one endpoint that a copy spans.
	AcceleratorsPerCopy int `json:"acceleratorsPerCopy"`
	// MinCopies counts over the whole deployment. Each data centre with endpoints of the service keeps an equal part,
	// rounded up, and at least one copy where it fits.
	MinCopies int `json:"minCopies"`
	// MaxCopies counts within one data centre.
	MaxCopies int `json:"maxCopies"`
	// Priority is passed to the engine; higher runs first.
	Priority         int   `json:"priority,omitempty"`
	DefaultTimeoutMs int64 `json:"defaultTimeoutMs"`
	MaxTimeoutMs     int64 `json:"maxTimeoutMs"`
	MaxInputTokens   int   `json:"maxInputTokens"`
	MaxOutputTokens  int   `json:"maxOutputTokens"`
	// FirstTokenTargetMs and BetweenTokensTargetMs define "answered in time". Schema version 2; zero means 340 and 27.
	FirstTokenTargetMs    int64 `json:"firstTokenTargetMs,omitempty" since:"2"`
	BetweenTokensTargetMs int64 `json:"betweenTokensTargetMs,omitempty" since:"2"`
}

// Adapter is an adapter of a model; callers name it as a model id of its own.
type Adapter struct {
	Header
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Version string   `json:"version"`
	Bytes   int64    `json:"bytes"`
}

const (
	// DefaultFirstTokenTarget is the latency target of a model that declares none.
	DefaultFirstTokenTarget = 340 * time.Millisecond
	// DefaultBetweenTokensTarget is the latency target of a model that declares none.
	DefaultBetweenTokensTarget = 27 * time.Millisecond
)

// Milliseconds converts a declared number of milliseconds.
func Milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
