package edge

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// keyedConfigDecoder returns a decoder of configuration entries VERSION KEY..., in which all keys belong to one
// workspace.
func keyedConfigDecoder() EntryDecoder {
	return EntryDecoder{Config: func(value []byte) (*routing.Config, error) {
		config := &routing.Config{Workspaces: []*routing.Workspace{{Name: "a"}}, Keys: routing.NewKeyIndex()}
		fields := strings.Fields(string(value))
		for _, key := range fields[1:] {
			config.Keys.Add(key, config.Workspaces[0])
		}
		_, err := fmt.Sscan(fields[0], &config.Version)
		return config, err
	}}
}

// Guards against a relay whose view is older, or whose message arrives late, and which brings a removed key back; and
// against a new key that instances which rely on relays do not learn.
func TestRelayedConfigurationChangesKeysOnlyForward(t *testing.T) {
	now := time.Now()
	s := newRelayTestServer(t, "edge-4", minInstancesForRelays)
	s.deps.EntryDecoder = keyedConfigDecoder()
	relayed := func(value string, version, revision int64) {
		t.Helper()
		compressed, err := compress([]byte(value))
		if err != nil {
			t.Fatal(err)
		}
		known := s.storeView.revision.Load()
		s.applyRelayed("edge-1", &exchange.RelayDoc{After: known, Revision: revision, Configuration: version, ConfigurationEntry: compressed}, now)
	}
	known := func(key string) bool { return s.table.Load().WorkspaceByKey(key) != nil }
	s.recordRevision(1, now)
	relayed("7 kept removed", 7, 10)
	if !known("kept") || !known("removed") {
		t.Fatal("the relayed keys are not in force")
	}
	relayed("8 kept new", 8, 20)
	if known("removed") || !known("kept") || !known("new") {
		t.Fatal("the newer relayed keys are not in force")
	}
	for _, revision := range []int64{15, 20, 30} {
		relayed("7 kept removed", 7, revision)
		relayed("7 kept removed", 9, revision) // The entry is older than the version that the message states.
		if known("removed") || !known("new") {
			t.Fatalf("an older configuration relayed with revision %d is in force", revision)
		}
	}
}

// Guards against mistakes in a configuration that is not in force being logged, against a line for each of many, and
// against metrics that show no workspaces.
func TestConfigurationWithFindingsInForce(t *testing.T) {
	s := newRelayTestServer(t, "edge-1", 1)
	core, logs := observer.New(zap.InfoLevel)
	scope := tally.NewTestScope("", nil)
	s.log, s.metrics = zap.New(core), newMetrics(scope)
	config := &routing.Config{Version: 9, Workspaces: []*routing.Workspace{{Name: "a"}}, Keys: routing.NewKeyIndex()}
	config.Keys.Add("k1", config.Workspaces[0])
	config.Keys.Add("k2", config.Workspaces[0])
	for i := range 500 {
		config.Findings.Add(findings.Finding{Pointer: fmt.Sprintf("/x/%d", i), Message: "wrong"})
	}
	for range 3 {
		s.applyConfig(config, 5, "")
	}
	lines := logs.FilterMessage("configuration has mistakes; the rest is in force").All()
	if len(lines) != 1 {
		t.Fatalf("%d lines", len(lines))
	}
	fields := lines[0].ContextMap()
	if first := fields["first"].([]any); fields["findings"] != int64(500) || len(first) != maxLoggedFindings {
		t.Errorf("line has %v findings, %d of them in full", fields["findings"], len(first))
	}
	gauges := scope.Snapshot().Gauges()
	if gauges["workspaces+"].Value() != 1 || gauges["api_keys+"].Value() != 2 {
		t.Errorf("workspaces %v, keys %v", gauges["workspaces+"].Value(), gauges["api_keys+"].Value())
	}
	s.applyConfig(&routing.Config{Version: 10}, 6, "")
	gauges = scope.Snapshot().Gauges()
	if gauges["workspaces+"].Value() != 0 || gauges["api_keys+"].Value() != 0 {
		t.Error("metrics show workspaces of an earlier configuration")
	}
}

// Guards against keys in the log, as parts of a request whose header cannot be parsed.
func TestMalformedRequestsAreLoggedWithoutKeys(t *testing.T) {
	for _, line := range []string{"Tenant : x", "X-Other: 1\rx", "X-Other: 1\x00", "Key : secret-key", "Content-Length: x", "Transfer-Encoding: x"} {
		s := newRelayTestServer(t, "edge-1", 1)
		core, logs := observer.New(zap.DebugLevel)
		s.log = zap.New(core)
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.newClientConn(server).serve(t.Context())
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_, _ = client.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\n" + line + "\r\nKey: secret-key\r\n\r\n"))
		time.Sleep(20 * time.Millisecond)
		_ = client.Close()
		<-done
		for _, entry := range logs.All() {
			if text := fmt.Sprint(entry.Message, entry.ContextMap()); strings.Contains(text, "secret-key") {
				t.Errorf("%q: logged %s", line, text)
			}
		}
	}
}
