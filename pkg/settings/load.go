package settings

import (
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/internal/strictjson"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

const (
	maxNameLength = 63
	maxDurationMs = 24 * 60 * 60 * 1000
	maxBytes      = 1 << 30
	maxCount      = 1_000_000
)

// Load reads and validates a settings file. The settings must not be used if there are findings.
func Load(path string) (Settings, findings.List) {
	var found findings.List
	data, err := os.ReadFile(path)
	if err != nil {
		found.Addf(path, "", "", "cannot be read: %v", err)
		return Settings{}, found
	}
	return Parse(path, data)
}

// Parse decodes and validates the content of a settings file. The file name is only used in findings.
func Parse(file string, data []byte) (Settings, findings.List) {
	c := &checker{file: file}
	s := Default()
	doc, err := strictjson.Parse(data)
	if err != nil {
		c.found.Addf(file, "", "", "is not valid JSON: %v", errors.UnwrapAll(err))
		return Settings{}, c.found
	}
	for _, pointer := range doc.Duplicates {
		c.found.Addf(file, pointer, "", "the field occurs more than once")
	}
	decoder := strictjson.Decoder{File: file, Findings: &c.found}
	c.invalidPointers = decoder.Decode(doc.Root, "", &s)
	c.check(&s)
	return s, c.found
}

type checker struct {
	file string
	// invalidPointers has the pointers of the fields that could not be decoded; they already have findings.
	invalidPointers map[string]bool
	found           findings.List
}

// add records a finding, unless the field or the whole document could not be decoded.
func (c *checker) add(pointer, value, message string) {
	if c.invalidPointers[pointer] || c.invalidPointers[""] {
		return
	}
	if value == `""` {
		value = ""
		message = "is missing; it " + message
	}
	c.found.Addf(c.file, pointer, value, "%s", message)
}

func (c *checker) check(s *Settings) {
	if s.SchemaVersion != SchemaVersion {
		c.add("/schemaVersion", strconv.Itoa(s.SchemaVersion), "must be "+strconv.Itoa(SchemaVersion))
	}
	c.checkName("/instanceId", s.InstanceID)
	c.checkName("/dataCentre", s.DataCentre)
	c.checkName("/region", s.Region)
	c.checkAddress("/callerAddress", s.CallerAddress)
	c.checkAddress("/peerAddress", s.PeerAddress)
	c.checkAddress("/adminAddress", s.AdminAddress)
	c.checkOutboundAddress(s.OutboundAddress)
	for i, peer := range s.SeedPeers {
		c.checkAddress("/seedPeers/"+strconv.Itoa(i), peer)
	}
	c.checkServices(s)
	c.checkTLS(&s.TLS)
	c.checkTokens(s)
	c.checkNumbers(s)
	c.checkOneOf("/logLevel", s.LogLevel, "debug", "info", "warn", "error")
	c.checkOneOf("/policies/routing", s.Policies.Routing, RoutingCost, RoutingRoundRobin, RoutingLeastOutstanding)
	c.checkOneOf("/policies/queueing", s.Policies.Queueing, QueueingFair, QueueingFCFS)
	c.checkOneOf("/policies/placement", s.Policies.Placement, PlacementDemand, PlacementStatic, PlacementChase)
}

// checkOneOf requires one of the allowed values, of which there are at least two.
func (c *checker) checkOneOf(pointer, value string, allowed ...string) {
	if slices.Contains(allowed, value) {
		return
	}
	last := len(allowed) - 1
	c.add(pointer, strconv.Quote(value), "must be "+strings.Join(allowed[:last], ", ")+" or "+allowed[last])
}

func (c *checker) checkOutboundAddress(value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddr(value); err != nil {
		c.add("/outboundAddress", strconv.Quote(value), "must be an IP address without a port")
	}
}

func (c *checker) checkServices(s *Settings) {
	if len(s.Store.URLs) == 0 {
		c.add("/store/urls", "", "must have at least one URL")
	}
	for i, storeURL := range s.Store.URLs {
		c.checkURL("/store/urls/"+strconv.Itoa(i), storeURL)
	}
	if !strings.HasSuffix(s.Store.Prefix, "/") || strings.HasPrefix(s.Store.Prefix, "/") {
		c.add("/store/prefix", strconv.Quote(s.Store.Prefix), "must end with / and not begin with it")
	}
	if s.InstanceList.URL != "" {
		c.checkURL("/instanceList/url", s.InstanceList.URL)
	}
	if s.WeightStore.URL != "" {
		c.checkURL("/weightStore/url", s.WeightStore.URL)
	}
}

func (c *checker) checkTLS(t *TLS) {
	c.checkListener("/tls/caller", t.Caller)
	c.checkListener("/tls/peer", t.Peer)
	c.checkListener("/tls/admin", t.Admin)
	c.checkReadable("/tls/storeCaFile", t.StoreCAFile)
	c.checkReadable("/tls/engineCaFile", t.EngineCAFile)
}

func (c *checker) checkListener(pointer string, l Listener) {
	if (l.CertFile == "") != (l.KeyFile == "") {
		c.add(pointer, "", "needs both certFile and keyFile, or neither")
	}
	if l.ClientCAFile != "" && l.CertFile == "" {
		c.add(pointer+"/clientCaFile", strconv.Quote(l.ClientCAFile), "needs certFile and keyFile")
	}
	c.checkReadable(pointer+"/certFile", l.CertFile)
	c.checkReadable(pointer+"/keyFile", l.KeyFile)
	c.checkReadable(pointer+"/clientCaFile", l.ClientCAFile)
}

// checkTokens requires a token or client certificates on the peer port and the admin port unless they listen on a
// loopback address, because both ports can change state.
func (c *checker) checkTokens(s *Settings) {
	c.checkReadable("/peerTokenFile", s.PeerTokenFile)
	c.checkReadable("/operatorTokenFile", s.OperatorTokenFile)
	if s.PeerTokenFile == "" && s.TLS.Peer.ClientCAFile == "" && !isLoopback(s.PeerAddress) {
		c.add("/peerTokenFile", "", "must be set when peerAddress is not a loopback address, unless tls.peer.clientCaFile is")
	}
	if s.OperatorTokenFile == "" && s.TLS.Admin.ClientCAFile == "" && !isLoopback(s.AdminAddress) {
		c.add("/operatorTokenFile", "",
			"must be set when adminAddress is not a loopback address, unless tls.admin.clientCaFile is")
	}
}

func (c *checker) checkNumbers(s *Settings) {
	c.checkRange("/store/timeoutMs", s.Store.TimeoutMs, 1, maxDurationMs)
	c.checkRange("/limits/headerBytes", int64(s.Limits.HeaderBytes), 1024, maxBytes)
	c.checkRange("/limits/bodyBytes", s.Limits.BodyBytes, 1, maxBytes)
	c.checkRange("/limits/connectionIdleMs", s.Limits.ConnectionIdleMs, 1, maxDurationMs)
	c.checkRange("/limits/readTimeoutMs", s.Limits.ReadTimeoutMs, 1, maxDurationMs)
	c.checkRange("/limits/concurrentConnections", int64(s.Limits.ConcurrentConnections), 1, maxCount)
	c.checkRange("/limits/memoryMb", int64(s.Limits.MemoryMB), 0, maxCount)
	c.checkRange("/limits/maxFds", int64(s.Limits.MaxFDs), 0, maxCount)
	c.checkRange("/shutdown/graceMs", s.Shutdown.GraceMs, 0, maxDurationMs)
	c.checkRange("/shutdown/drainMs", s.Shutdown.DrainMs, 0, maxDurationMs)
	c.checkRange("/decisionRecords", int64(s.DecisionRecords), 1, maxCount)
	c.checkRange("/exchangeIntervalMs", s.ExchangeIntervalMs, 50, maxDurationMs)
}

func (c *checker) checkRange(pointer string, value, low, high int64) {
	if value < low || value > high {
		c.add(pointer, strconv.FormatInt(value, 10),
			"must be between "+strconv.FormatInt(low, 10)+" and "+strconv.FormatInt(high, 10))
	}
}

func (c *checker) checkName(pointer, value string) {
	allowed := "abcdefghijklmnopqrstuvwxyz0123456789-."
	if value == "" || len(value) > maxNameLength || strings.Trim(value, allowed) != "" {
		c.add(pointer, strconv.Quote(value), "must be 1 to 63 lower-case letters, digits, '-' or '.'")
	}
}

func (c *checker) checkAddress(pointer, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(pointer, strconv.Quote(value), "must be an IP address and a port")
	}
}

func (c *checker) checkURL(pointer, value string) {
	u, err := url.Parse(value)
	if err == nil && u.User != nil {
		c.add(pointer, "", "must not carry a user name or password")
		return
	}
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.Fragment != "" {
		c.add(pointer, strconv.Quote(value), "must be http:// or https:// with an IP address and a port")
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.add(pointer, strconv.Quote(value), "must have an IP address and a port, not a host name")
	}
}

// checkReadable reports a file that cannot be opened. An empty path is valid and means that there is no file.
func (c *checker) checkReadable(pointer, path string) {
	if path == "" {
		return
	}
	file, err := os.Open(path)
	if err != nil {
		c.add(pointer, strconv.Quote(path), "cannot be read: "+err.Error())
		return
	}
	_ = file.Close()
}

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	// An invalid address is reported by checkAddress.
	return err != nil || parsed.Addr().IsLoopback()
}
