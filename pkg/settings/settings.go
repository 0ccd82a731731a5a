// Package settings reads the daemon's static settings: what an instance must know before it can read the declarations.
// Secrets are never in the settings; they name files that hold them.
package settings

import "time"

// SchemaVersion is the version of the settings that this build reads.
const SchemaVersion = 1

// Settings are the daemon's static settings. Load fills in the defaults.
type Settings struct {
	SchemaVersion int `json:"schemaVersion"`
	// InstanceID names the instance; it stays the same over restarts.
	InstanceID string `json:"instanceId"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// CallerAddress, PeerAddress and AdminAddress are IP addresses with ports to listen on. Port 0 lets the system
	// choose one. The peer address is told to peers as it is.
	CallerAddress string `json:"callerAddress"`
	PeerAddress   string `json:"peerAddress"`
	AdminAddress  string `json:"adminAddress,omitempty"`
	// OutboundAddress is the source IP address of connections to the store, to endpoints and to peers; empty lets the
	// system choose it. Instances with several addresses need it where paths or firewalls depend on the source.
	OutboundAddress string `json:"outboundAddress,omitempty"`
	// SeedPeers are peer addresses that are tried before the instance list is known.
	SeedPeers    []string     `json:"seedPeers,omitempty"`
	Store        Store        `json:"store"`
	InstanceList InstanceList `json:"instanceList,omitempty"`
	WeightStore  WeightStore  `json:"weightStore,omitempty"`
	TLS          TLS          `json:"tls,omitempty"`
	// PeerTokenFile holds the token that instances show each other; OperatorTokenFile the one of the admin port.
	PeerTokenFile     string   `json:"peerTokenFile,omitempty"`
	OperatorTokenFile string   `json:"operatorTokenFile,omitempty"`
	LogLevel          string   `json:"logLevel,omitempty"`
	Limits            Limits   `json:"limits,omitempty"`
	Shutdown          Shutdown `json:"shutdown,omitempty"`
	Policies          Policies `json:"policies,omitempty"`
	// DecisionRecords is the number of decision records that are kept for explain.
	DecisionRecords    int   `json:"decisionRecords,omitempty"`
	ExchangeIntervalMs int64 `json:"exchangeIntervalMs,omitempty"`
}

// Store says where the key-value service is.
type Store struct {
	URLs []string `json:"urls"`
	// Prefix begins every key of this deployment.
	Prefix    string `json:"prefix,omitempty"`
	TimeoutMs int64  `json:"timeoutMs,omitempty"`
}

// InstanceList says where the list of live and leaving instances is; an empty URL means that there is none.
type InstanceList struct {
	URL string `json:"url,omitempty"`
}

// WeightStore says where the catalogue of artifacts is; an empty URL means that there is none.
type WeightStore struct {
	URL string `json:"url,omitempty"`
}

// TLS has the certificates of the listeners and the authorities of the services that the daemon calls.
type TLS struct {
	Caller Listener `json:"caller,omitempty"`
	Peer   Listener `json:"peer,omitempty"`
	Admin  Listener `json:"admin,omitempty"`
	// StoreCAFile and EngineCAFile are PEM files; without one the system's authorities are used.
	StoreCAFile  string `json:"storeCaFile,omitempty"`
	EngineCAFile string `json:"engineCaFile,omitempty"`
}

// Listener has the PEM files of a listener. Without a certificate the listener speaks plain text.
type Listener struct {
	CertFile string `json:"certFile,omitempty"`
	KeyFile  string `json:"keyFile,omitempty"`
	// ClientCAFile makes client certificates mandatory.
	ClientCAFile string `json:"clientCaFile,omitempty"`
}

// Limits bound what one caller connection can take.
type Limits struct {
	HeaderBytes           int   `json:"headerBytes,omitempty"`
	BodyBytes             int64 `json:"bodyBytes,omitempty"`
	ConnectionIdleMs      int64 `json:"connectionIdleMs,omitempty"`
	ReadTimeoutMs         int64 `json:"readTimeoutMs,omitempty"`
	ConcurrentConnections int   `json:"concurrentConnections,omitempty"`
}

// Shutdown has the times of a graceful shutdown.
type Shutdown struct {
	// GraceMs is how long new work is still accepted after readiness ended, so that the load balancer notices.
	GraceMs int64 `json:"graceMs,omitempty"`
	// DrainMs is how long in-flight requests may take after that.
	DrainMs int64 `json:"drainMs,omitempty"`
}

// Policies select how an instance decides. All instances of a deployment should have the same; the values other than the
// defaults are baselines to measure against.
type Policies struct {
	// Routing is cost, round-robin or least-outstanding.
	Routing string `json:"routing,omitempty"`
	// Queueing is fair or fcfs (first come, first served).
	Queueing string `json:"queueing,omitempty"`
	// Placement is demand, static or chase.
	Placement string `json:"placement,omitempty"`
}

// Values of Policies; the first of each kind is the default.
const (
	RoutingCost             = "cost"
	RoutingRoundRobin       = "round-robin"
	RoutingLeastOutstanding = "least-outstanding"

	QueueingFair = "fair"
	QueueingFCFS = "fcfs"

	PlacementDemand = "demand"
	PlacementStatic = "static"
	PlacementChase  = "chase"
)

// Defaults of the fields that may be left out.
const (
	DefaultAdminAddress          = "127.0.0.1:9480"
	DefaultStorePrefix           = "mulberryglade/"
	DefaultStoreTimeout          = 2 * time.Second
	DefaultLogLevel              = "info"
	DefaultHeaderBytes           = 16 << 10
	DefaultBodyBytes             = 8 << 20
	DefaultConnectionIdle        = time.Minute
	DefaultReadTimeout           = 10 * time.Second
	DefaultConcurrentConnections = 4096
	DefaultGrace                 = 3 * time.Second
	DefaultDrain                 = 2 * time.Minute
	DefaultDecisionRecords       = 10_000
	DefaultExchangeInterval      = time.Second
)

// Default returns settings in which only the fields without a default are empty.
func Default() Settings {
	return Settings{
		AdminAddress: DefaultAdminAddress,
		Store:        Store{Prefix: DefaultStorePrefix, TimeoutMs: DefaultStoreTimeout.Milliseconds()},
		LogLevel:     DefaultLogLevel,
		Limits: Limits{
			HeaderBytes:           DefaultHeaderBytes,
			BodyBytes:             DefaultBodyBytes,
			ConnectionIdleMs:      DefaultConnectionIdle.Milliseconds(),
			ReadTimeoutMs:         DefaultReadTimeout.Milliseconds(),
			ConcurrentConnections: DefaultConcurrentConnections,
		},
		Shutdown: Shutdown{
			GraceMs: DefaultGrace.Milliseconds(),
			DrainMs: DefaultDrain.Milliseconds(),
		},
		Policies:           Policies{Routing: RoutingCost, Queueing: QueueingFair, Placement: PlacementDemand},
		DecisionRecords:    DefaultDecisionRecords,
		ExchangeIntervalMs: DefaultExchangeInterval.Milliseconds(),
	}
}
