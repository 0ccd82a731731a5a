// Package config defines the operators' declarations: typed records, their validation, the rules for the coexistence of
// two schema versions, and the immutable Snapshot that all other packages read.
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
	// SchemaVersion1 is the oldest supported schema version.
	SchemaVersion1 = 1
	// SchemaVersion2 adds Model.FirstTokenTargetMs, Model.BetweenTokensTargetMs and Member.MaxConcurrentRequests.
	SchemaVersion2 = 2
	// NewestSchemaVersion is the newest schema version that this build reads in full. In records of a newer version it
	// ignores unknown fields.
	NewestSchemaVersion = SchemaVersion2
)

// Header has the fields that are common to all records.
type Header struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// SchemaVersion is the schema version in which the record was written.
	SchemaVersion int `json:"schemaVersion"`
	// MinReaderVersion is the oldest schema version whose readers may use the record; zero means SchemaVersion1. A writer
	// sets it when an older reader would misread the record.
	MinReaderVersion int `json:"minReaderVersion,omitempty"`
}

// Deployment has the settings of the whole deployment.
type Deployment struct {
	Header
	// AttainmentWeight and MoveWeight are the relative weights of a request that meets its latency targets and of a load,
	// unload or relocation.
	AttainmentWeight float64 `json:"attainmentWeight"`
	MoveWeight       float64 `json:"moveWeight"`
	// PlacementShards is the number of shards into which the endpoints of a data centre are divided for placement.
	PlacementShards int `json:"placementShards"`
	// ModelLoadsPerSecond and ConcurrentModelLoads are the limits, for model loads, of the store from which weights are
	// loaded.
	ModelLoadsPerSecond  float64 `json:"modelLoadsPerSecond"`
	ConcurrentModelLoads int     `json:"concurrentModelLoads"`
	// ConcurrentAdapterLoads is the number of concurrent adapter loads above which loads slow down.
	ConcurrentAdapterLoads int `json:"concurrentAdapterLoads"`
	// RegionLinkBitsPerSecond is the capacity of the link between regions in each direction.
	RegionLinkBitsPerSecond int64 `json:"regionLinkBitsPerSecond"`
	// QueueRequests and QueueBytes bound the admission queue of one entry instance.
	QueueRequests int   `json:"queueRequests"`
	QueueBytes    int64 `json:"queueBytes"`
	// RetryBudgetRatio is the number of retries allowed per successful call, between 0 and 1.
	RetryBudgetRatio float64 `json:"retryBudgetRatio"`
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	Header
	Region string `json:"region"`
}

// KeyHash identifies a bearer key by a salted hash; it does not contain the key.
type KeyHash struct {
	// Prefix is the first KeyPrefixLength characters of the key in clear. It only narrows the search for a hash.
	Prefix string `json:"prefix"`
	// Salt is encoded in base64. Hash is the base64 encoding of the SHA-256 sum of salt and key.
	Salt string `json:"salt"`
	Hash string `json:"hash"`
}

// KeyPrefixLength is the number of characters of a key that are stored in clear.
const KeyPrefixLength = 8

// Member is an organisation that shares the endpoints of the deployment.
type Member struct {
	Header
	// Share is the member's weight in fair sharing. Only the ratios between members matter.
	Share float64   `json:"share"`
	Keys  []KeyHash `json:"keys"`
	// MaxConcurrentRequests bounds the member's concurrent requests at one entry instance; zero means no limit. Schema
	// version 2.
	MaxConcurrentRequests int `json:"maxConcurrentRequests,omitempty" since:"2"`
}

// ServiceType is the type of the replicas of a service.
type ServiceType string

const (
	// EngineService is a service whose replicas are model engines.
	EngineService ServiceType = "engine"
	// PlainService is a service whose replicas are plain HTTP servers.
	PlainService ServiceType = "plain"
)

// Service is a group of replicas.
type Service struct {
	Header
	Type ServiceType `json:"type"`
	// Members are the members that may call a plain service. For an engine service, each model lists its members.
	Members []string `json:"members,omitempty"`
	// Routes state which calls of a plain service may be repeated. The first matching route applies. A call without a
	// matching route must not be repeated.
	Routes           []Route `json:"routes,omitempty"`
	DefaultTimeoutMs int64   `json:"defaultTimeoutMs"`
	MaxTimeoutMs     int64   `json:"maxTimeoutMs"`
	MaxBodyBytes     int64   `json:"maxBodyBytes"`
}

// Route is a rule for calls of a plain service that match its method and path.
type Route struct {
	// Method is an HTTP method, or "*".
	Method string `json:"method"`
	// PathPrefix is compared by whole path segments.
	PathPrefix string `json:"pathPrefix"`
	Repeatable bool   `json:"repeatable"`
	// RequireIdempotencyKey causes calls without the header Idempotency-Key to be rejected.
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
	// URL consists of http:// or https://, an IP address and a port.
	URL string `json:"url"`
	// MaxConcurrentRequests is the declared maximum number of requests that the replica runs concurrently.
	MaxConcurrentRequests int `json:"maxConcurrentRequests"`
	// Accelerators is empty for a plain service.
	Accelerators []Accelerator `json:"accelerators,omitempty"`
	// ChecksFencing is true if the engine rejects orders with an outdated fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Role is the role assigned to the engine: "serve", "prefill" or "decode". Empty means "serve".
	Role string `json:"role,omitempty"`
	// Leaving is true if the endpoint must not receive new work.
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
	// KVReserveBytes is the KV cache memory reserved for each copy, divided evenly among its accelerators.
	KVReserveBytes int64 `json:"kvReserveBytes"`
	// AcceleratorsPerCopy is the number of accelerators of one endpoint that a copy uses.
	AcceleratorsPerCopy int `json:"acceleratorsPerCopy"`
	// MinCopies is the minimum number of copies in the whole deployment. Each data centre with endpoints of the service
	// keeps an equal fraction of MinCopies, rounded up, and at least one copy if one fits.
	MinCopies int `json:"minCopies"`
	// MaxCopies is the maximum number of copies in each data centre.
	MaxCopies int `json:"maxCopies"`
	// Priority is sent to the engine with each call. Calls with a higher priority run first.
	Priority         int   `json:"priority,omitempty"`
	DefaultTimeoutMs int64 `json:"defaultTimeoutMs"`
	MaxTimeoutMs     int64 `json:"maxTimeoutMs"`
	MaxInputTokens   int   `json:"maxInputTokens"`
	MaxOutputTokens  int   `json:"maxOutputTokens"`
	// FirstTokenTargetMs and BetweenTokensTargetMs are the latency targets for the first token and between tokens. Schema
	// version 2; zero means 340 and 27.
	FirstTokenTargetMs    int64 `json:"firstTokenTargetMs,omitempty" since:"2"`
	BetweenTokensTargetMs int64 `json:"betweenTokensTargetMs,omitempty" since:"2"`
}

// Adapter is an adapter of a model. Callers use its name as a model id.
type Adapter struct {
	Header
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Version string   `json:"version"`
	Bytes   int64    `json:"bytes"`
}

const (
	// DefaultFirstTokenTarget is the target for the first token of models that declare none.
	DefaultFirstTokenTarget = 340 * time.Millisecond
	// DefaultBetweenTokensTarget is the target for the time between tokens of models that declare none.
	DefaultBetweenTokensTarget = 27 * time.Millisecond
)

// Milliseconds converts a declared number of milliseconds.
func Milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
