// Package adminapi has the JSON messages of the admin port and a client for it. Ages and durations are milliseconds.
package adminapi

import (
	"encoding/json"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// Paths of the admin port. All but PathDrain are queries with GET. The response to a failed request is a problem
// document.
const (
	PathStatus    = "/v1/status"
	PathMembers   = "/v1/members"
	PathEndpoints = "/v1/endpoints"
	PathModels    = "/v1/models"
	// PathDecisions lists the decisions of the kind in parameter QueryKind, newest first, at most as many as parameter
	// QueryLimit. Followed by "/" and an id, it returns one decision.
	PathDecisions = "/v1/decisions"
	// PathDrain accepts a DrainRequest with POST.
	PathDrain = "/v1/drain"

	// QueryKind and QueryLimit are parameters of PathDecisions.
	QueryKind  = "kind"
	QueryLimit = "limit"
)

// List is the JSON object of every list.
type List[T any] struct {
	Items []T `json:"items"`
}

// Status is an instance's report about itself.
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
	// InFlight is the number of this instance's started calls, Queued that of its waiting calls.
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
	// BehindMs is how long the instance has known of a newer revision; zero when it knows of none.
	BehindMs int64 `json:"behindMs"`
	// Relay reports whether this instance watches the store for its data centre.
	Relay bool `json:"relay"`
	// Findings are the reasons why records are not in effect as stored.
	Findings []findings.Finding `json:"findings,omitempty"`
}

// StoreStatus describes the connection to the key-value store.
type StoreStatus struct {
	ContactAgeMs int64 `json:"contactAgeMs"`
	Available    bool  `json:"available"`
}

// PeerStatus is the state of a peer as this instance last received it.
type PeerStatus struct {
	InstanceID string `json:"instanceId"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Address    string `json:"address"`
	// LastExchangeAgeMs is the time since the last exchange with the peer; negative when there was none.
	LastExchangeAgeMs int64 `json:"heardAgeMs"`
	ConfigRevision    int64 `json:"configRevision"`
	ConfigBehindMs    int64 `json:"configBehindMs"`
	StoreContactAgeMs int64 `json:"storeContactAgeMs"`
	Draining          bool  `json:"draining"`
}

// ShardStatus is a placement shard of the instance's data centre.
type ShardStatus struct {
	Shard int `json:"shard"`
	// Held reports whether this instance holds the shard's placement lease.
	Held bool `json:"held"`
	// Unplaced are the artifacts that the holder's last plan could not place.
	Unplaced []Unplaced `json:"unplaced,omitempty"`
}

// Unplaced is an artifact that could not be placed, with the reason.
type Unplaced struct {
	Artifact Artifact `json:"artifact"`
	Reason   string   `json:"reason"`
}

// Artifact names a version of a model or adapter.
type Artifact struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version"`
	// State is the state in the engine's report or in the ledger, such as loaded; empty where it does not apply.
	State string `json:"state,omitempty"`
}

// Member is a member's use of the deployment as this instance knows it.
type Member struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	// ShareFraction is the member's fraction of the sum of all shares, and ServiceFraction its fraction of the service
	// that all members received recently.
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

// Accelerator is the memory of an accelerator. ReservedBytes is negative when the instance has not read the ledger.
type Accelerator struct {
	MemoryBytes   int64 `json:"memoryBytes"`
	ReservedBytes int64 `json:"reservedBytes"`
}

// Model is a model or adapter with its demand and copies.
type Model struct {
	Name string `json:"name"`
	// Kind is model or adapter; Base is the base model of an adapter.
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
	// InstanceID must be the id of the instance that receives the request. Any other id is rejected with status 409, so
	// that a request to a wrong address drains no instance.
	InstanceID string `json:"instanceId"`
}

// DrainResponse acknowledges a drain, which an earlier request may have begun.
type DrainResponse struct {
	InstanceID string `json:"instanceId"`
	InFlight   int    `json:"inFlight"`
	Queued     int    `json:"queued"`
}
