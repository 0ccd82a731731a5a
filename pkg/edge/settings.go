package edge

import (
	"encoding/json"
	"net"
	"os"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// SettingsVersion is the schema version of the settings that this build reads.
const SettingsVersion = 1

// Settings are the settings file of an entry instance on the users' platform. The names carry the units.
type Settings struct {
	SchemaVersion int    `json:"schemaVersion"`
	InstanceID    string `json:"instanceId"`
	DataCentre    string `json:"dataCentre"`
	Region        string `json:"region"`
	// CallerAddress serves clients, ReadyAddress the load balancer's readiness checks, MetricsAddress the metrics.
	// ExchangeAddress receives the datagrams of other instances. All addresses are IP:PORT.
	CallerAddress   string `json:"callerAddress"`
	ReadyAddress    string `json:"readyAddress"`
	ExchangeAddress string `json:"exchangeAddress"`
	MetricsAddress  string `json:"metricsAddress,omitempty"`
	StoreAddress    string `json:"storeAddress"`
	// Regions maps each data centre to its region.
	Regions map[string]string `json:"regions"`
	// MemoryMB is the memory that the process may use.
	MemoryMB int `json:"memoryMb"`
	// MaxFDs is the number of file descriptors that the process may use; zero means what the operating system allows.
	MaxFDs int `json:"maxFds,omitempty"`
	// EndpointBodyMB bounds the bodies of requests that one endpoint holds for this instance; zero means 16.
	EndpointBodyMB int    `json:"endpointBodyMb,omitempty"`
	LogLevel       string `json:"logLevel,omitempty"`
	Bounds         Bounds `json:"bounds"`
}

// Bounds are the limits that the deployment requires.
type Bounds struct {
	// ShutdownSeconds is the maximum time from the request to stop until the process has ended.
	ShutdownSeconds float64 `json:"shutdownSeconds"`
	// LeavingMs and ConfigurationMs are the times within which a leaving endpoint and a new configuration must take
	// effect.
	LeavingMs       int64 `json:"leavingMs"`
	ConfigurationMs int64 `json:"configurationMs"`
	// RetryRatio, RetrySlack and RetryWindowSeconds bound the repeated sends of all instances together.
	RetryRatio         float64 `json:"retryRatio"`
	RetrySlack         float64 `json:"retrySlack"`
	RetryWindowSeconds float64 `json:"retryWindowSeconds"`
	// PlacementLeaseMs is the time during which only one instance may give placement orders.
	PlacementLeaseMs int64 `json:"placementLeaseMs"`
	// WeightStoreWindowSeconds and WeightStoreOverage bound the loads from the weight store: in any window of this
	// length, the loads take at most the store's rate times this factor.
	WeightStoreWindowSeconds float64 `json:"weightStoreWindowSeconds"`
	WeightStoreOverage       float64 `json:"weightStoreOverage"`
}

// shutdownTime returns ShutdownSeconds as a duration.
func (b *Bounds) shutdownTime() time.Duration {
	return time.Duration(b.ShutdownSeconds * float64(time.Second))
}

// watchInterval returns the time between two watches of the store.
func (b *Bounds) watchInterval() time.Duration {
	return time.Duration(float64(min(b.LeavingMs, b.ConfigurationMs)) * watchIntervalShare * float64(time.Millisecond))
}

// configurationTime returns ConfigurationMs as a duration.
func (b *Bounds) configurationTime() time.Duration {
	return time.Duration(b.ConfigurationMs) * time.Millisecond
}

// placementLease returns PlacementLeaseMs as a duration.
func (b *Bounds) placementLease() time.Duration {
	return time.Duration(b.PlacementLeaseMs) * time.Millisecond
}

// LoadSettings reads and checks a settings file. It returns all findings together.
func LoadSettings(path string) (Settings, findings.List) {
	var s Settings
	var found findings.List
	data, err := os.ReadFile(path)
	if err != nil {
		found.Addf(path, "", "", "cannot be read: %v", err)
		return s, found
	}
	if err := json.Unmarshal(data, &s); err != nil {
		found.Addf(path, "", "", "is not valid JSON: %v", err)
		return s, found
	}
	s.check(path, &found)
	return s, found
}

func (s *Settings) check(path string, found *findings.List) {
	if s.SchemaVersion != SettingsVersion {
		found.Addf(path, "/schemaVersion", "", "must be %d", SettingsVersion)
	}
	for _, field := range []struct{ pointer, value string }{
		{"/instanceId", s.InstanceID}, {"/dataCentre", s.DataCentre}, {"/region", s.Region},
	} {
		if field.value == "" {
			found.Addf(path, field.pointer, "", "must not be empty")
		}
	}
	for _, field := range []struct {
		pointer, value string
		optional       bool
	}{
		{"/callerAddress", s.CallerAddress, false},
		{"/readyAddress", s.ReadyAddress, false},
		{"/exchangeAddress", s.ExchangeAddress, false},
		{"/metricsAddress", s.MetricsAddress, true},
		{"/storeAddress", s.StoreAddress, false},
	} {
		if field.optional && field.value == "" {
			continue
		}
		if host, _, err := net.SplitHostPort(field.value); err != nil || net.ParseIP(host) == nil {
			found.Addf(path, field.pointer, field.value, "must be IP:PORT")
		}
	}
	for _, field := range []struct {
		pointer string
		value   int
	}{{"/maxFds", s.MaxFDs}, {"/endpointBodyMb", s.EndpointBodyMB}} {
		if field.value < 0 {
			found.Addf(path, field.pointer, "", "must not be negative")
		}
	}
	s.Bounds.check(path, found)
}

func (b *Bounds) check(path string, found *findings.List) {
	for _, field := range []struct {
		pointer string
		value   float64
	}{
		{"/bounds/shutdownSeconds", b.ShutdownSeconds},
		{"/bounds/leavingMs", float64(b.LeavingMs)},
		{"/bounds/configurationMs", float64(b.ConfigurationMs)},
		{"/bounds/retryWindowSeconds", b.RetryWindowSeconds},
		{"/bounds/placementLeaseMs", float64(b.PlacementLeaseMs)},
		{"/bounds/weightStoreWindowSeconds", b.WeightStoreWindowSeconds},
		{"/bounds/weightStoreOverage", b.WeightStoreOverage},
	} {
		if field.value <= 0 {
			found.Addf(path, field.pointer, "", "must be positive")
		}
	}
	if b.RetryRatio < 0 || b.RetrySlack < 0 {
		found.Addf(path, "/bounds/retryRatio", "", "ratio and slack must not be negative")
	}
}
