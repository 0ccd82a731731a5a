// Package settings reads the daemon's static settings, which an instance needs before it can read the declarations.
// The settings contain no secrets, only the names of files with secrets.
package settings

import "time"

// SchemaVersion is the only version of the settings format that this build accepts.
const SchemaVersion = 1

// Settings are the daemon's static settings. Load fills in the defaults.
type Settings struct {
	SchemaVersion int `json:"schemaVersion"`
	// InstanceID identifies the instance; it stays the same across restarts.
	InstanceID string `json:"instanceId"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// CallerAddress, PeerAddress and AdminAddress are the IP addresses and ports to listen on. With port 0 the system
	// chooses a free port. The address of the peer listener is announced to peers unchanged.
	CallerAddress string `json:"callerAddress"`
	PeerAddress   string `json:"peerAddress"`
	AdminAddress  string `json:"adminAddress,omitempty"`
	// OutboundAddress is the source IP address of connections to the store, to endpoints and to peers. If empty, the
	// system chooses it. Instances with several addresses need it where routes or firewalls depend on the source.
	OutboundAddress string `json:"outboundAddress,omitempty"`
	// SeedPeers are the addresses of peers to contact before the instance list is known.
	SeedPeers    []string     `json:"seedPeers,omitempty"`
	Store        Store        `json:"store"`
	InstanceList InstanceList `json:"instanceList,omitempty"`
	WeightStore  WeightStore  `json:"weightStore,omitempty"`
	TLS          TLS          `json:"tls,omitempty"`
	// PeerTokenFile contains the token that instances send to each other; OperatorTokenFile contains the token of the
	// admin port.
	PeerTokenFile     string   `json:"peerTokenFile,omitempty"`
	OperatorTokenFile string   `json:"operatorTokenFile,omitempty"`
	LogLevel          string   `json:"logLevel,omitempty"`
	Limits            Limits   `json:"limits,omitempty"`
	Shutdown          Shutdown `json:"shutdown,omitempty"`
	Policies          Policies `json:"policies,omitempty"`
	// DecisionRecords is the number of decision records that are kept for the explain command.
	DecisionRecords    int   `json:"decisionRecords,omitempty"`
	ExchangeIntervalMs int64 `json:"exchangeIntervalMs,omitempty"`
}

// Store configures the connection to the key-value store.
type Store struct {
	URLs []string `json:"urls"`
	// Prefix is the prefix of every key of this deployment.
	Prefix    string `json:"prefix,omitempty"`
	TimeoutMs int64  `json:"timeoutMs,omitempty"`
}

// InstanceList has the URL of the list of live and leaving instances; an empty URL means that there is none.
type InstanceList struct {
	URL string `json:"url,omitempty"`
}

// WeightStore has the URL of the catalogue of artifacts; an empty URL means that there is none.
type WeightStore struct {
	URL string `json:"url,omitempty"`
}

// TLS has the certificates of the listeners and the CA certificates of the services that the daemon calls.
type TLS struct {
	Caller Listener `json:"caller,omitempty"`
	Peer   Listener `json:"peer,omitempty"`
	Admin  Listener `json:"admin,omitempty"`
	// StoreCAFile and EngineCAFile are PEM files with CA certificates; if empty, the system's CA certificates are used.
	StoreCAFile  string `json:"storeCaFile,omitempty"`
	EngineCAFile string `json:"engineCaFile,omitempty"`
}

// Listener has the PEM files of a listener. Without a certificate the listener does not use TLS.
type Listener struct {
	CertFile string `json:"certFile,omitempty"`
	KeyFile  string `json:"keyFile,omitempty"`
	// ClientCAFile has the CA certificates that verify client certificates. If it is set, a client must present a
	// certificate.
	ClientCAFile string `json:"clientCaFile,omitempty"`
}

// Limits bound the resources of caller connections.
type Limits struct {
	HeaderBytes           int   `json:"headerBytes,omitempty"`
	BodyBytes             int64 `json:"bodyBytes,omitempty"`
	ConnectionIdleMs      int64 `json:"connectionIdleMs,omitempty"`
	ReadTimeoutMs         int64 `json:"readTimeoutMs,omitempty"`
	ConcurrentConnections int   `json:"concurrentConnections,omitempty"`
	// MemoryMB is the memory that the process may use, in megabytes, and MaxFDs the number of file descriptors. Zero means
	// that the memory is unknown, and the limit of the operating system.
	MemoryMB int `json:"memoryMb,omitempty"`
	MaxFDs   int `json:"maxFds,omitempty"`
}

// Shutdown has the times of a graceful shutdown.
type Shutdown struct {
	// GraceMs is how long new work is still accepted after the instance has ceased to report that it is ready, so that the
	// load balancer can detect this.
	GraceMs int64 `json:"graceMs,omitempty"`
	// DrainMs is how long in-flight requests may continue after GraceMs.
	DrainMs int64 `json:"drainMs,omitempty"`
}

// Policies select the algorithms of an instance. All instances of a deployment should use the same policies. Values
// other than the defaults are baselines for measurements.
type Policies struct {
	// Routing is cost, round-robin or least-outstanding.
	Routing string `json:"routing,omitempty"`
	// Queueing is fair or fcfs (first come, first served).
	Queueing string `json:"queueing,omitempty"`
	// Placement is demand, static or chase.
	Placement string `json:"placement,omitempty"`
}

// Values of Policies; the first value of each field is the default.
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

// Defaults of optional fields.
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

// Default returns settings with all defaults; fields without a default are empty.
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
