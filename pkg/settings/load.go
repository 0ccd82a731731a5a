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
	maxMs         = 24 * 60 * 60 * 1000
	maxBytes      = 1 << 30
	maxCount      = 1_000_000
)

// Load reads and validates a settings file. The settings are usable only without findings.
func Load(path string) (Settings, findings.List) {
	var found findings.List
	data, err := os.ReadFile(path)
	if err != nil {
		found.Addf(path, "", "", "cannot be read: %v", err)
		return Settings{}, found
	}
	return Parse(path, data)
}

// Parse validates the content of a settings file, whose name is only used in findings.
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
	c.bad = decoder.Decode(doc.Root, "", &s)
	c.check(&s)
	return s, c.found
}

type checker struct {
	file  string
	bad   map[string]bool
	found findings.List
}

func (c *checker) add(pointer, value, message string) {
	if c.bad[pointer] || c.bad[""] {
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
	c.name("/instanceId", s.InstanceID)
	c.name("/dataCentre", s.DataCentre)
	c.name("/region", s.Region)
	c.address("/callerAddress", s.CallerAddress)
	c.address("/peerAddress", s.PeerAddress)
	c.address("/adminAddress", s.AdminAddress)
	c.outboundAddress(s.OutboundAddress)
	for i, peer := range s.SeedPeers {
		c.address("/seedPeers/"+strconv.Itoa(i), peer)
	}
	c.checkServices(s)
	c.checkTLS(&s.TLS)
	c.checkTokens(s)
	c.checkNumbers(s)
	c.oneOf("/logLevel", s.LogLevel, "debug", "info", "warn", "error")
	c.oneOf("/policies/routing", s.Policies.Routing, RoutingCost, RoutingRoundRobin, RoutingLeastOutstanding)
	c.oneOf("/policies/queueing", s.Policies.Queueing, QueueingFair, QueueingFCFS)
	c.oneOf("/policies/placement", s.Policies.Placement, PlacementDemand, PlacementStatic, PlacementChase)
}

// oneOf requires one of at least two values.
func (c *checker) oneOf(pointer, value string, allowed ...string) {
	if slices.Contains(allowed, value) {
		return
	}
	last := len(allowed) - 1
	c.add(pointer, strconv.Quote(value), "must be "+strings.Join(allowed[:last], ", ")+" or "+allowed[last])
}

func (c *checker) outboundAddress(value string) {
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
	for i, text := range s.Store.URLs {
		c.url("/store/urls/"+strconv.Itoa(i), text)
	}
	if !strings.HasSuffix(s.Store.Prefix, "/") || strings.HasPrefix(s.Store.Prefix, "/") {
		c.add("/store/prefix", strconv.Quote(s.Store.Prefix), "must end with / and not begin with it")
	}
	if s.InstanceList.URL != "" {
		c.url("/instanceList/url", s.InstanceList.URL)
	}
	if s.WeightStore.URL != "" {
		c.url("/weightStore/url", s.WeightStore.URL)
	}
}

func (c *checker) checkTLS(t *TLS) {
	c.listener("/tls/caller", t.Caller)
	c.listener("/tls/peer", t.Peer)
	c.listener("/tls/admin", t.Admin)
	c.readable("/tls/storeCaFile", t.StoreCAFile)
	c.readable("/tls/engineCaFile", t.EngineCAFile)
}

func (c *checker) listener(pointer string, l Listener) {
	if (l.CertFile == "") != (l.KeyFile == "") {
		c.add(pointer, "", "needs both certFile and keyFile, or neither")
	}
	if l.ClientCAFile != "" && l.CertFile == "" {
		c.add(pointer+"/clientCaFile", strconv.Quote(l.ClientCAFile), "needs certFile and keyFile")
	}
	c.readable(pointer+"/certFile", l.CertFile)
	c.readable(pointer+"/keyFile", l.KeyFile)
	c.readable(pointer+"/clientCaFile", l.ClientCAFile)
}

// checkTokens requires a token where other machines can reach a port that changes state.
func (c *checker) checkTokens(s *Settings) {
	c.readable("/peerTokenFile", s.PeerTokenFile)
	c.readable("/operatorTokenFile", s.OperatorTokenFile)
	if s.PeerTokenFile == "" && s.TLS.Peer.ClientCAFile == "" && !isLoopback(s.PeerAddress) {
		c.add("/peerTokenFile", "", "must be set when peerAddress is not a loopback address, unless tls.peer.clientCaFile is")
	}
	if s.OperatorTokenFile == "" && s.TLS.Admin.ClientCAFile == "" && !isLoopback(s.AdminAddress) {
		c.add("/operatorTokenFile", "",
			"must be set when adminAddress is not a loopback address, unless tls.admin.clientCaFile is")
	}
}

func (c *checker) checkNumbers(s *Settings) {
	c.number("/store/timeoutMs", s.Store.TimeoutMs, 1, maxMs)
	c.number("/limits/headerBytes", int64(s.Limits.HeaderBytes), 1024, maxBytes)
	c.number("/limits/bodyBytes", s.Limits.BodyBytes, 1, maxBytes)
	c.number("/limits/connectionIdleMs", s.Limits.ConnectionIdleMs, 1, maxMs)
	c.number("/limits/readTimeoutMs", s.Limits.ReadTimeoutMs, 1, maxMs)
	c.number("/limits/concurrentConnections", int64(s.Limits.ConcurrentConnections), 1, maxCount)
	c.number("/shutdown/graceMs", s.Shutdown.GraceMs, 0, maxMs)
	c.number("/shutdown/drainMs", s.Shutdown.DrainMs, 0, maxMs)
	c.number("/decisionRecords", int64(s.DecisionRecords), 1, maxCount)
	c.number("/exchangeIntervalMs", s.ExchangeIntervalMs, 50, maxMs)
}

func (c *checker) number(pointer string, value, low, high int64) {
	if value < low || value > high {
		c.add(pointer, strconv.FormatInt(value, 10),
			"must be between "+strconv.FormatInt(low, 10)+" and "+strconv.FormatInt(high, 10))
	}
}

func (c *checker) name(pointer, value string) {
	allowed := "abcdefghijklmnopqrstuvwxyz0123456789-."
	if value == "" || len(value) > maxNameLength || strings.Trim(value, allowed) != "" {
		c.add(pointer, strconv.Quote(value), "must be 1 to 63 lower-case letters, digits, '-' or '.'")
	}
}

func (c *checker) address(pointer, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(pointer, strconv.Quote(value), "must be an IP address and a port")
	}
}

func (c *checker) url(pointer, value string) {
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

// readable reports a file that cannot be opened; an empty name is no file.
func (c *checker) readable(pointer, path string) {
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
	// An address that cannot be parsed has a finding of its own.
	return err != nil || parsed.Addr().IsLoopback()
}
