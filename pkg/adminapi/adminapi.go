// Package adminapi has the JSON messages of the admin port and a client for it. Ages and durations are milliseconds.
package adminapi

import (
	"encoding/json"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// Paths of the admin port. All but PathDrain are read with GET. A failure is a problem document.
const (
	PathStatus    = "/v1/status"
	PathMembers   = "/v1/members"
	PathEndpoints = "/v1/endpoints"
	PathModels    = "/v1/models"
	// PathDecisions lists decisions of the kind in QueryKind, newest first, at most QueryLimit; followed by "/" and an id
	// it returns one.
	PathDecisions = "/v1/decisions"
	// PathDrain takes a DrainRequest with POST.
	PathDrain = "/v1/drain"

	QueryKind  = "kind"
	QueryLimit = "limit"
)

// List is the form of every list.
type List[T any] struct {
	Items []T `json:"items"`
}

// Status is what an instance tells about itself.
type Status struct {
	InstanceID  string    `json:"instanceId"`
	Incarnation string    `json:"incarnation"`
	DataCentre  string    `json:"dataCentre"`
	Region      string    `json:"region"`
	Version     string    `json:"version"`
	StartedAt   time.Time `json:"startedAt"`
	Ready       bool      `json:"ready"`
	// NotReadyReasons is empty when the instance is ready.
	NotReadyReasons []string `json:"notReadyReasons,omitempty"`
	Draining        bool     `json:"draining"`
	// InFlight and Queued count this instance's calls.
	InFlight  int           `json:"inFlight"`
	Queued    int           `json:"queued"`
	Config    ConfigStatus  `json:"config"`
	Store     StoreStatus   `json:"store"`
	Peers     []PeerStatus  `json:"peers"`
	Placement []ShardStatus `json:"placement"`
}

// ConfigStatus describes the configuration in effect.
type ConfigStatus struct {
	// Revision is zero before the first configuration.
	Revision    int64     `json:"revision"`
	CommittedAt time.Time `json:"committedAt"`
	// BehindMs is how long a newer revision has been known; zero when none is.
	BehindMs int64 `json:"behindMs"`
	// Relay is true when this instance follows the store for its data centre.
	Relay bool `json:"relay"`
	// Findings are records that are not in effect as stored.
	Findings []findings.Finding `json:"findings,omitempty"`
}

// StoreStatus describes the connection to the key-value store.
type StoreStatus struct {
	ContactAgeMs int64 `json:"contactAgeMs"`
	Available    bool  `json:"available"`
}

// PeerStatus is what is known of a peer.
type PeerStatus struct {
	InstanceID string `json:"instanceId"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Address    string `json:"address"`
	// HeardAgeMs is the time since the last exchange; negative when there was none.
	HeardAgeMs        int64 `json:"heardAgeMs"`
	ConfigRevision    int64 `json:"configRevision"`
	ConfigBehindMs    int64 `json:"configBehindMs"`
	StoreContactAgeMs int64 `json:"storeContactAgeMs"`
	Draining          bool  `json:"draining"`
}

// ShardStatus is a placement shard of the instance's data centre.
type ShardStatus struct {
	Shard int `json:"shard"`
	// Held is true when this instance holds the lease.
	Held bool `json:"held"`
	// Unplaced are artifacts for which the holder finds no room, each with the reason.
	Unplaced []Unplaced `json:"unplaced,omitempty"`
}

// Unplaced is an artifact without room.
type Unplaced struct {
	Artifact Artifact `json:"artifact"`
	Reason   string   `json:"reason"`
}

// Artifact names a version of a model or adapter.
type Artifact struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version"`
	// State is the engine's or the ledger's word, such as loaded; empty where it does not apply.
	State string `json:"state,omitempty"`
}

// Member is a member's use of the pool as this instance knows it.
type Member struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	// ShareFraction is the member's part of all shares, and ServiceFraction its part of the service received lately.
	ShareFraction   float64 `json:"shareFraction"`
	ServiceFraction float64 `json:"serviceFraction"`
	InFlight        int     `json:"inFlight"`
	Waiting         int     `json:"waiting"`
}

// Endpoint is an endpoint as this instance knows it.
type Endpoint struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	URL        string `json:"url"`
	// Health is healthy, ejected or probing.
	Health  string `json:"health"`
	Leaving bool   `json:"leaving"`
	// ReportAgeMs is the age of the last load report; negative before the first one.
	ReportAgeMs      int64         `json:"reportAgeMs"`
	OwnInFlight      int           `json:"ownInFlight"`
	PeerInFlight     int           `json:"peerInFlight"`
	ConcurrencyLimit int           `json:"concurrencyLimit"`
	KVCacheUsage     float64       `json:"kvCacheUsage"`
	Accelerators     []Accelerator `json:"accelerators,omitempty"`
	Artifacts        []Artifact    `json:"artifacts,omitempty"`
}

// Accelerator is an accelerator's memory. ReservedBytes is negative when the ledger was not read.
type Accelerator struct {
	MemoryBytes   int64 `json:"memoryBytes"`
	ReservedBytes int64 `json:"reservedBytes"`
}

// Model is a model or adapter with its demand and copies.
type Model struct {
	Name string `json:"name"`
	// Kind is model or adapter; Base is the model of an adapter.
	Kind              string   `json:"kind"`
	Base              string   `json:"base,omitempty"`
	Service           string   `json:"service"`
	Version           string   `json:"version"`
	MinCopies         int      `json:"minCopies"`
	MaxCopies         int      `json:"maxCopies"`
	LoadedCopies      int      `json:"loadedCopies"`
	Endpoints         []string `json:"endpoints"`
	RequestsPerSecond float64  `json:"requestsPerSecond"`
	Waiting           int      `json:"waiting"`
}

// Decision is a routing or placement decision.
type Decision struct {
	// Kind is routing or placement.
	Kind string `json:"kind"`
	// ID is a request id or an order id.
	ID      string          `json:"id"`
	Time    time.Time       `json:"time"`
	Subject string          `json:"subject"`
	Chosen  string          `json:"chosen"`
	Reason  string          `json:"reason"`
	Detail  json.RawMessage `json:"detail"`
}

// DrainRequest asks an instance to stop accepting work, finish what is in flight and exit.
type DrainRequest struct {
	// InstanceID must be the id of the instance that receives the request; any other is refused with status 409, so that
	// a wrong address drains nothing.
	InstanceID string `json:"instanceId"`
}

// DrainResponse acknowledges a drain, which may have begun earlier.
type DrainResponse struct {
	InstanceID string `json:"instanceId"`
	InFlight   int    `json:"inFlight"`
	Queued     int    `json:"queued"`
}
