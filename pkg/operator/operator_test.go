package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore/etcdgateway"
	"github.com/mulberryglade/mulberryglade/pkg/operator"
	"github.com/mulberryglade/mulberryglade/pkg/operator/commands"
	"github.com/mulberryglade/mulberryglade/pkg/operator/queries"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

func TestOperator(t *testing.T) {
	testkit.RunSpecs(t, "operator")
}

// openStore connects to a store over HTTP. Tests can use another function in its place.
func openStore(o operator.StoreOptions) (kvstore.Store, error) {
	return etcdgateway.New(etcdgateway.Options{URLs: o.URLs})
}

type output struct {
	code           int
	stdout, stderr string
}

func run(open func(operator.StoreOptions) (kvstore.Store, error), stdin string, args ...string) output {
	var stdout, stderr bytes.Buffer
	env := &operator.Environment{
		Context:   context.Background(),
		Stdin:     strings.NewReader(stdin),
		Stdout:    &stdout,
		Stderr:    &stderr,
		OpenStore: open,
		Now:       func() time.Time { return time.UnixMilli(1) },
	}
	parser := operator.NewParser(env)
	commands.Register(parser, env)
	queries.Register(parser, env)
	code := operator.Run(parser, env, args)
	return output{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

const sindhuliExample = "../../examples/sindhuli"

func writeTempFile(text string) string {
	path := filepath.Join(GinkgoT().TempDir(), "f.json")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

var _ = Describe("configuration over the store's HTTP API", func() {
	var memory *kv.Memory
	var store string

	BeforeEach(func() {
		memory = kv.NewMemory()
		server := kv.NewServer(memory)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		store = "http://" + listener.Addr().String()
	})

	It("applies, shows and prunes declarations", func() {
		result := run(openStore, "", "apply", "--store", store, "-f", sindhuliExample, "--change-id", "first")
		Expect(result.code).To(Equal(operator.ExitOK), result.stderr)
		Expect(result.stdout).To(ContainSubstring("98 created, 0 updated, 0 deleted"))
		Expect(result.stdout).To(ContainSubstring("change first is in effect"))

		changed := writeTempFile(`{"kind":"Member","name":"district-office","schemaVersion":2,"share":4,"keys":[]}`)
		result = run(openStore, "", "diff", "--store", store, "-f", changed)
		Expect(result.code).To(Equal(operator.ExitOK))
		Expect(result.stdout).To(ContainSubstring("~ Member/district-office\n"))
		Expect(result.stdout).To(ContainSubstring("share: 1 -> 4"))
		Expect(result.stdout).To(ContainSubstring("maxConcurrentRequests: 32 -> (absent)"))

		result = run(openStore, "", "get", "--store", store, "members", "district-office")
		Expect(result.stdout).To(ContainSubstring(`"share": 1`), "diff must not change anything")
		result = run(openStore, "", "-o", "json", "get", "--store", store, "model")
		var models []config.Model
		Expect(json.Unmarshal([]byte(result.stdout), &models)).To(Succeed())
		Expect(models).To(HaveLen(17))

		result = run(openStore, "", "apply", "--store", store, "--prune", "-f", "../../examples/lusorenda")
		Expect(result.code).To(Equal(operator.ExitOK), result.stderr)
		Expect(result.stdout).To(ContainSubstring("93 created, 0 updated, 98 deleted"))
	})

	It("returns the exit code for each kind of failure", func() {
		Expect(run(openStore, "", "get", "--store", store, "Model").code).To(Equal(operator.ExitFailure))
		Expect(run(openStore, "", "apply", "-f", sindhuliExample).code).To(Equal(operator.ExitUsage))
		Expect(run(openStore, "", "get", "--store", store, "Rack").code).To(Equal(operator.ExitUsage))
		Expect(run(openStore, "", "version", "extra").code).To(Equal(operator.ExitUsage))
		Expect(run(openStore, "", "apply", "--store", store, "-f", sindhuliExample, "--change-id", "c").code).To(Equal(operator.ExitOK))

		invalid := writeTempFile(`{"kind":"Member","name":"m","schemaVersion":2,"share":0}`)
		result := run(openStore, "", "-o", "json", "apply", "--store", store, "-f", invalid)
		Expect(result.code).To(Equal(operator.ExitFindings))
		Expect(result.stdout).To(ContainSubstring(`"pointer": "/share"`))
		Expect(run(openStore, "", "check", "-f", invalid).code).To(Equal(operator.ExitFindings))

		valid := writeTempFile(`{"kind":"Member","name":"m","schemaVersion":2,"share":1}`)
		result = run(openStore, "", "apply", "--store", store, "-f", sindhuliExample, "--base-revision", "1", "--prune", "-f", valid)
		Expect(result.code).To(Equal(operator.ExitOK), "the files contain the records that changed since the base revision")
		result = run(openStore, "", "apply", "--store", store, "-f", sindhuliExample, "--base-revision", "1", "--prune")
		Expect(result.code).To(Equal(operator.ExitConflict), result.stderr)
		Expect(result.stderr).To(ContainSubstring("Member/m"))
		Expect(run(openStore, "", "apply", "--store", store, "-f", valid, "--change-id", "c").code).To(Equal(operator.ExitConflict))
		memory.Faults.SetDown(true)
		Expect(run(openStore, "", "apply", "--store", store, "-f", valid).code).To(Equal(operator.ExitUnavailable))
	})

	It("reports an unknown outcome and the id for the retry", func() {
		Expect(run(openStore, "", "apply", "--store", store, "-f", sindhuliExample).code).To(Equal(operator.ExitOK))
		memory.Faults.Queue(kv.CallCommit, kv.Fault{})
		memory.Faults.Queue(kv.CallCommit, kv.Fault{DropReply: true})
		openWithOutage := func(o operator.StoreOptions) (kvstore.Store, error) {
			inner, err := openStore(o)
			return &outageAfterLostReply{Store: inner, memory: memory}, err
		}
		valid := writeTempFile(`{"kind":"Member","name":"m","schemaVersion":2,"share":1}`)
		result := run(openWithOutage, "", "apply", "--store", store, "-f", valid, "--change-id", "c9")
		Expect(result.code).To(Equal(operator.ExitOutcomeUnknown))
		Expect(result.stderr).To(ContainSubstring("c9"))
		memory.Faults.SetDown(false)
		result = run(openStore, "", "apply", "--store", store, "-f", valid, "--change-id", "c9")
		Expect(result.code).To(Equal(operator.ExitOK))
		Expect(result.stdout).To(ContainSubstring("already in effect"))
	})
})

// outageAfterLostReply starts an outage when the reply to a write is lost.
type outageAfterLostReply struct {
	kvstore.Store
	memory *kv.Memory
}

func (d *outageAfterLostReply) Commit(
	ctx context.Context, writes []kvstore.ConditionalWrite,
) ([]kvstore.WriteResult, error) {
	results, err := d.Store.Commit(ctx, writes)
	if err != nil {
		d.memory.Faults.SetDown(true)
	}
	return results, err
}

var _ = Describe("key hash", func() {
	It("prints a hash that the key matches, and not the key", func() {
		key := "an-evaluation-key-with-enough-characters"
		result := run(nil, key+"\n", "key", "hash")
		Expect(result.code).To(Equal(operator.ExitOK), result.stderr)
		Expect(result.stdout).NotTo(ContainSubstring(key))
		var hash config.KeyHash
		Expect(json.Unmarshal([]byte(result.stdout), &hash)).To(Succeed())
		member := config.Member{Header: config.Header{Name: "m"}, Keys: []config.KeyHash{hash}}
		snapshot := config.NewSnapshot(1, time.Time{}, config.Records{Members: []config.Member{member}})
		Expect(snapshot.MemberByKey(key).Name).To(Equal("m"))
		Expect(run(nil, "short\n", "key", "hash").code).To(Equal(operator.ExitFailure))
	})
})

var _ = Describe("queries and commands for an instance", func() {
	serve := func(handler http.HandlerFunc) string {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		return server.URL
	}

	DescribeTable("send the documented request",
		func(path, body, want string, args ...string) {
			var requested, authorization string
			url := serve(func(w http.ResponseWriter, r *http.Request) {
				requested, authorization = r.Method+" "+r.URL.RequestURI(), r.Header.Get("Authorization")
				_, _ = w.Write([]byte(body))
			})
			result := run(nil, "", append(args, "--admin", url, "--token-file", writeTempFile("s3cret\n"))...)
			Expect(result.code).To(Equal(operator.ExitOK), result.stderr)
			Expect(requested).To(Equal(path))
			Expect(authorization).To(Equal("Bearer s3cret"))
			Expect(result.stdout).To(ContainSubstring(want))
		},
		Entry("status", "GET /v1/status", `{"instanceId":"entry-1","config":{"revision":17}}`, "revision 17", "status"),
		Entry("members", "GET /v1/members", `{"items":[{"name":"m","shareFraction":0.25}]}`, "25.0%", "members"),
		Entry("endpoints", "GET /v1/endpoints", `{"items":[{"name":"e-1","reportAgeMs":-1}]}`, "never", "endpoints"),
		Entry("models", "GET /v1/models", `{"items":[{"name":"a","endpoints":["e-1","e-2"]}]}`, "e-1,e-2", "models"),
		Entry("moves", "GET /v1/decisions?kind=placement", `{"items":[{"id":"order-1"}]}`, "order-1", "moves"),
		Entry("explain request", "GET /v1/decisions/r%2F1", `{"kind":"routing","id":"r/1","detail":{"a":1}}`, `"a": 1`,
			"explain", "request", "r/1"),
		Entry("explain placement", "GET /v1/decisions/o-1", `{"kind":"placement","reason":"demand","detail":null}`, "demand",
			"explain", "placement", "o-1"),
		Entry("drain", "POST /v1/drain", `{"instanceId":"entry-1","inFlight":3}`, "3 calls in flight", "drain", "entry-1"),
	)

	// Guards against a request that an on-call engineer cannot explain from the logs alone.
	It("explain a request from logs on standard input and in files", func() {
		log := `{"ts":"2026-10-04T03:18:31.5Z","msg":"routed","instance":"edge-1","request":"r1","endpoint":"e1"}` + "\n" +
			`{"ts":"2026-10-04T03:18:31.9Z","msg":"endpoint withdrawn","instance":"edge-2","endpoint":"e1"}` + "\n"
		for _, result := range []output{run(nil, log, "explain", "log", "r1"), run(nil, "", "explain", "log", "r1", writeTempFile(log))} {
			Expect(result.code).To(Equal(operator.ExitOK), result.stderr)
			Expect(result.stdout).To(MatchRegexp("(?s)routed.*endpoint withdrawn"))
		}
		Expect(run(nil, log, "explain", "log", "r2").code).To(Equal(operator.ExitFailure))
		Expect(run(nil, "", "explain", "log", "r1", "no-such-file").code).To(Equal(operator.ExitFailure))
	})

	It("distinguish an unavailable instance from a rejected command", func() {
		conflictURL := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(problem.New(problem.TypeInvalidRequest, 409, problem.NotRun, "this is entry-2"))
		})
		result := run(nil, "", "drain", "entry-1", "--admin", conflictURL)
		Expect(result.code).To(Equal(operator.ExitFailure))
		Expect(result.stderr).To(ContainSubstring("this is entry-2"))
		Expect(run(nil, "", "status", "--admin", "http://127.0.0.1:1").code).To(Equal(operator.ExitUnavailable))
		Expect(run(nil, "", "drain", "entry-1", "--admin", "http://127.0.0.1:1").code).To(Equal(operator.ExitUnavailable))
	})

	// Guards against "nothing took effect" for a command that the instance may have received.
	It("report a lost reply of a command as unknown and of a query as unavailable", func() {
		url := serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		Expect(run(nil, "", "drain", "entry-1", "--admin", url).code).To(Equal(operator.ExitOutcomeUnknown))
		Expect(run(nil, "", "status", "--admin", url).code).To(Equal(operator.ExitUnavailable))
	})

	It("refuse to explain a decision of another kind", func() {
		url := serve(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(adminapi.Decision{Kind: "routing"})
		})
		Expect(run(nil, "", "explain", "placement", "x", "--admin", url).code).To(Equal(operator.ExitFailure))
	})
})

var _ = DescribeTable("schema prints the schema that describes a field",
	func(name, field string) {
		result := run(nil, "", "schema", name)
		Expect(result.code).To(Equal(operator.ExitOK))
		Expect(json.Valid([]byte(result.stdout))).To(BeTrue())
		Expect(result.stdout).To(ContainSubstring(field))
	},
	Entry("declarations", "declarations", `"kvReserveBytes"`),
	Entry("settings", "settings", `"exchangeIntervalMs"`),
)

// Guards against a query that is repeated without a pause, and against help and error texts that are hard to read.
var _ = DescribeTable("usage", func(code int, expectedText, absentText string, args ...string) {
	got := run(nil, "", args...)
	Expect(got.code).To(Equal(code))
	Expect(got.stdout + got.stderr).To(ContainSubstring(expectedText))
	Expect(got.stdout + got.stderr).NotTo(ContainSubstring(absentText))
},
	Entry("interval of zero", operator.ExitUsage, "--interval must be above zero (got 0s)", "reached",
		"status", "--admin", "http://127.0.0.1:1", "--interval", "0s"),
	Entry("negative interval", operator.ExitUsage, "--interval must be above zero (got -1s)", "reached",
		"status", "--admin", "http://127.0.0.1:1", "--interval", "-1s"),
	Entry("unknown kind", operator.ExitUsage, "kinds are Adapter, DataCentre, Deployment", ": usage", "get", "Modl"),
	Entry("no store", operator.ExitUsage, "--store or MULBERRYGLADE_STORE\n", ": usage", "get", "Model"),
	Entry("missing file", operator.ExitFindings, "no-such-file: cannot be read", ": :", "check", "-f", "no-such-file"),
)

// Guards against help text that keeps the line breaks of the source and is wrapped again to the width of the terminal.
var _ = It("describes a command in paragraphs, and its examples line by line", func() {
	env := &operator.Environment{}
	parser := operator.NewParser(env)
	commands.Register(parser, env)
	long := parser.Find("apply").LongDescription
	Expect(long).To(ContainSubstring("as a whole or not at all. Records"))
	Expect(long).To(ContainSubstring("\n\nExamples:\n  mulberryglade apply --store"))
})
