package config

import (
	"encoding/base64"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/mulberryglade/mulberryglade/pkg/keydigest"
)

const (
	// maxTimeoutMs is one day, far below the overflow of a time.Duration.
	maxTimeoutMs = 24 * 60 * 60 * 1000
	// maxBytes is one pebibyte. Sums over thousands of records stay far below the overflow of int64.
	maxBytes = int64(1) << 50
	// maxShare bounds shares and weights, so that sums and ratios stay precise.
	maxShare = 1e6
	// maxCount bounds numbers of requests, tokens, copies and loads.
	maxCount = 100_000_000
	// maxShards is far above the number of shards at which further shards no longer reduce the load of a lease holder.
	maxShards         = 1024
	maxLoadsPerSecond = 1e6
	sha256Bytes       = 32
)

func (e *decodedRecord) checkFields() {
	switch r := e.record.(type) {
	case *Deployment:
		e.checkDeployment(r)
	case *DataCentre:
		e.checkNameField("region", r.Region)
	case *Member:
		e.checkMember(r)
	case *Service:
		e.checkService(r)
	case *Endpoint:
		e.checkEndpoint(r)
	case *Model:
		e.checkModel(r)
	case *Adapter:
		e.checkAdapter(r)
	}
}

func (e *decodedRecord) checkDeployment(d *Deployment) {
	e.checkFloat("attainmentWeight", d.AttainmentWeight, 0, maxShare)
	e.checkFloat("moveWeight", d.MoveWeight, 0, maxShare)
	if d.AttainmentWeight == 0 && d.MoveWeight == 0 {
		e.report("attainmentWeight", "attainmentWeight and moveWeight must not both be zero")
	}
	e.checkInt("placementShards", int64(d.PlacementShards), 1, maxShards)
	e.checkPositive("modelLoadsPerSecond", d.ModelLoadsPerSecond, maxLoadsPerSecond)
	e.checkInt("concurrentModelLoads", int64(d.ConcurrentModelLoads), 1, maxCount)
	e.checkInt("concurrentAdapterLoads", int64(d.ConcurrentAdapterLoads), 1, maxCount)
	e.checkInt("regionLinkBitsPerSecond", d.RegionLinkBitsPerSecond, 1, maxBytes)
	e.checkInt("queueRequests", int64(d.QueueRequests), 1, maxCount)
	e.checkInt("queueBytes", d.QueueBytes, 1, maxBytes)
	e.checkFloat("retryBudgetRatio", d.RetryBudgetRatio, 0, 1)
}

func (e *decodedRecord) checkMember(m *Member) {
	e.checkPositive("share", m.Share, maxShare)
	e.checkInt("maxConcurrentRequests", int64(m.MaxConcurrentRequests), 0, maxCount)
	for i, k := range m.Keys {
		if len(k.Prefix) != KeyPrefixLength {
			e.reportUnquoted([]any{"keys", i, "prefix"}, "must be the first %d characters of the key", KeyPrefixLength)
		}
		if salt, err := base64.StdEncoding.DecodeString(k.Salt); err != nil || len(salt) < keydigest.SaltBytes {
			e.reportUnquoted([]any{"keys", i, "salt"}, "must be base64 of at least %d bytes", keydigest.SaltBytes)
		}
		if hash, err := base64.StdEncoding.DecodeString(k.Hash); err != nil || len(hash) != sha256Bytes {
			e.reportUnquoted([]any{"keys", i, "hash"}, "must be base64 of the %d bytes of a SHA-256 sum", sha256Bytes)
		}
	}
}

func (e *decodedRecord) checkService(s *Service) {
	e.checkInt("maxBodyBytes", s.MaxBodyBytes, 1, maxBytes)
	// Calls of an engine service use the timeouts of the model.
	if s.Type != EngineService || s.DefaultTimeoutMs != 0 || s.MaxTimeoutMs != 0 {
		e.checkTimeouts(s.DefaultTimeoutMs, s.MaxTimeoutMs)
	}
	switch s.Type {
	case PlainService:
		e.checkMembers(s.Members)
		e.checkRoutes(s.Routes)
	case EngineService:
		if len(s.Members) > 0 {
			e.report("members", "must be absent for an engine service, whose models name their members")
		}
		if len(s.Routes) > 0 {
			e.report("routes", "must be absent for an engine service")
		}
	default:
		e.report("type", "must be %q or %q", EngineService, PlainService)
	}
}

func (e *decodedRecord) checkRoutes(routes []Route) {
	for i, r := range routes {
		if r.Method != "*" && (r.Method == "" || strings.Trim(r.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "") {
			e.reportAt([]any{"routes", i, "method"}, "must be an HTTP method in upper case or %q", "*")
		}
		if !strings.HasPrefix(r.PathPrefix, "/") {
			e.reportAt([]any{"routes", i, "pathPrefix"}, "must begin with /")
		}
		if r.Repeatable && r.RequireIdempotencyKey {
			e.reportAt([]any{"routes", i, "requireIdempotencyKey"}, "must be false for a repeatable call")
		}
	}
}

func (e *decodedRecord) checkEndpoint(p *Endpoint) {
	e.checkNameField("service", p.Service)
	e.checkNameField("dataCentre", p.DataCentre)
	if !isEndpointURL(p.URL) {
		e.report("url", "must be http:// or https:// with an IP address and a port, and nothing else")
	}
	e.checkInt("maxConcurrentRequests", int64(p.MaxConcurrentRequests), 1, maxCount)
	for i, a := range p.Accelerators {
		if a.MemoryBytes < 1 || a.MemoryBytes > maxBytes {
			e.reportAt([]any{"accelerators", i, "memoryBytes"}, "must be between 1 and %d", maxBytes)
		}
	}
	switch p.Role {
	case "", "serve", "prefill", "decode":
	default:
		e.report("role", "must be serve, prefill or decode")
	}
}

// isEndpointURL reports whether the text is an HTTP URL of only an IP address and a port. Host names are rejected,
// because processes connect to each other by IP address only.
func isEndpointURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	address, err := netip.ParseAddrPort(u.Host)
	if err != nil || address.Port() == 0 {
		return false
	}
	return text == u.Scheme+"://"+u.Host
}

func (e *decodedRecord) checkModel(m *Model) {
	e.checkNameField("service", m.Service)
	e.checkMembers(m.Members)
	e.checkVersion(m.Version)
	e.checkInt("weightBytes", m.WeightBytes, 1, maxBytes)
	e.checkInt("kvReserveBytes", m.KVReserveBytes, 1, maxBytes)
	e.checkInt("acceleratorsPerCopy", int64(m.AcceleratorsPerCopy), 1, maxCount)
	// At least one copy: a model without copies could not be called while the store is unavailable.
	e.checkInt("minCopies", int64(m.MinCopies), 1, maxCount)
	e.checkInt("maxCopies", int64(m.MaxCopies), 1, maxCount)
	if m.MinCopies > m.MaxCopies {
		e.report("maxCopies", "must be at least minCopies, %d", m.MinCopies)
	}
	e.checkTimeouts(m.DefaultTimeoutMs, m.MaxTimeoutMs)
	e.checkInt("maxInputTokens", int64(m.MaxInputTokens), 1, maxCount)
	e.checkInt("maxOutputTokens", int64(m.MaxOutputTokens), 1, maxCount)
	e.checkInt("priority", int64(m.Priority), -maxCount, maxCount)
	e.checkInt("firstTokenTargetMs", m.FirstTokenTargetMs, 0, maxTimeoutMs)
	e.checkInt("betweenTokensTargetMs", m.BetweenTokensTargetMs, 0, maxTimeoutMs)
}

func (e *decodedRecord) checkAdapter(a *Adapter) {
	e.checkNameField("model", a.Model)
	e.checkMembers(a.Members)
	e.checkVersion(a.Version)
	e.checkInt("bytes", a.Bytes, 1, maxBytes)
}

func (e *decodedRecord) checkVersion(version string) {
	if version == "" || len(version) > MaxNameLength || strings.ContainsFunc(version, isControlOrSpace) {
		e.report("version", "must be 1 to %d characters without spaces", MaxNameLength)
	}
}

func isControlOrSpace(r rune) bool {
	return r <= ' ' || r == 0x7f
}

func (e *decodedRecord) checkMembers(members []string) {
	seen := make(map[string]bool, len(members))
	for i, name := range members {
		if seen[name] {
			e.reportAt([]any{"members", i}, "is listed more than once")
		}
		seen[name] = true
	}
}

func (e *decodedRecord) checkNameField(field, value string) {
	if !isName(value) {
		e.report(field, "must be a name")
	}
}

func (e *decodedRecord) checkTimeouts(defaultMs, maxMs int64) {
	e.checkInt("defaultTimeoutMs", defaultMs, 1, maxTimeoutMs)
	e.checkInt("maxTimeoutMs", maxMs, 1, maxTimeoutMs)
	if defaultMs > maxMs {
		e.report("defaultTimeoutMs", "must not be above maxTimeoutMs, %d", maxMs)
	}
}

func (e *decodedRecord) checkInt(field string, value, low, high int64) {
	if value < low || value > high {
		e.report(field, "must be between %d and %d", low, high)
	}
}

func (e *decodedRecord) checkFloat(field string, value, low, high float64) {
	if value < low || value > high {
		e.report(field, "must be between %s and %s", decimal(low), decimal(high))
	}
}

func (e *decodedRecord) checkPositive(field string, value, high float64) {
	if value <= 0 || value > high {
		e.report(field, "must be above 0 and at most %s", decimal(high))
	}
}

// decimal formats a number without an exponent.
func decimal(limit float64) string {
	return strconv.FormatFloat(limit, 'f', -1, 64)
}
