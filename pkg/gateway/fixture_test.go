package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/internal/standin/service"
	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/dispatch"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/engine/openaihttp"
	"github.com/mulberryglade/mulberryglade/pkg/gateway"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/retry"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

func TestGateway(t *testing.T) {
	testkit.RunSpecs(t, "gateway")
}

const memberKey = "key-of-member-a-for-the-gateway-tests"

// gate admits every call: model calls to the engine, other calls to the service.
type gate struct {
	engine, service engine.Target
}

func (g gate) Acquire(_ context.Context, request scheduling.Request) (admission.Ticket, error) {
	if request.Model == "" {
		return ticket(g.service), nil
	}
	return ticket(g.engine), nil
}

type ticket engine.Target

func (t ticket) Target() engine.Target         { return engine.Target(t) }
func (t ticket) Decision() scheduling.Decision { return scheduling.Decision{} }
func (t ticket) RecordTokens(int)              {}
func (t ticket) Release(admission.Result)      {}

// memoryClaimer is a claims.Claimer that keeps responses in memory. A call without a recorded response gets a grant.
type memoryClaimer struct {
	mu        sync.Mutex
	responses map[string]claims.Response
}

func (c *memoryClaimer) Claim(_ context.Context, request claims.Request) (claims.Grant, *claims.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response, ok := c.responses[request.Key]; ok {
		return nil, &response, nil
	}
	return memoryGrant{memoryClaimer: c, key: request.Key}, nil, nil
}

type memoryGrant struct {
	memoryClaimer *memoryClaimer
	key           string
}

func (g memoryGrant) Complete(_ context.Context, response claims.Response) error {
	g.memoryClaimer.mu.Lock()
	defer g.memoryClaimer.mu.Unlock()
	g.memoryClaimer.responses[g.key] = response
	return nil
}

func (g memoryGrant) Release(context.Context) error { return nil }

type keyIssuer struct{}

func (keyIssuer) Issue(member string) (string, error) { return "key-for-" + member, nil }

var testSnapshot = newTestSnapshot()

func newTestSnapshot() *config.Snapshot {
	key, err := config.HashKey(memberKey)
	must(err)
	header := func(name string) config.Header { return config.Header{Name: name} }
	return config.NewSnapshot(1, time.Unix(1000, 0), config.Records{
		Members: []config.Member{{Header: header("a"), Keys: []config.KeyHash{key}}},
		Models: []config.Model{
			{Header: header("m"), Members: []string{"a"}, MaxOutputTokens: 100, MaxInputTokens: 1000},
			{Header: header("theirs"), Members: []string{"b"}},
		},
		Adapters: []config.Adapter{{Header: header("m-menus"), Model: "m", Members: []string{"a"}}},
		Services: []config.Service{
			{Header: header("order-desk"), Type: config.PlainService, Members: []string{"a"}, MaxBodyBytes: 100},
			{Header: header("index-api"), Type: config.PlainService, Members: []string{"b"}},
		},
	})
}

type fixture struct {
	server  *gateway.Server
	engine  *standin.Engine
	service *service.Service
	url     string
	address string
	// engineURL is the URL of the engine itself.
	engineURL string
}

func newFixture(engineOptions standin.Options, limits gateway.Limits, configure func(*gateway.Options)) *fixture {
	f, cleanup := startFixture(engineOptions, limits, configure)
	DeferCleanup(cleanup)
	return f
}

// startFixture starts an engine, a service and a gateway in front of them. The second result stops them.
func startFixture(engineOptions standin.Options, limits gateway.Limits, configure func(*gateway.Options)) (*fixture, func()) {
	engineOptions.ServeAll = true
	f := &fixture{engine: standin.New(engineOptions), service: service.New(service.Options{})}
	engineURL, err := f.engine.Start()
	must(err)
	serviceURL, err := f.service.Start()
	must(err)
	client := openaihttp.New(openaihttp.Options{})
	pool := httpconn.NewPool(httpconn.Options{})
	options := dispatch.Options{
		Gate:   gate{engine: engine.Target{Name: "e", URL: engineURL}, service: engine.Target{Name: "s", URL: serviceURL}},
		Budget: retry.NewBudget(func() retry.Limits { return retry.Limits{} }),
	}
	gatewayOptions := gateway.Options{
		Snapshot: func() *config.Snapshot { return testSnapshot },
		Models:   dispatch.NewModelDispatcher(client, options),
		Services: dispatch.NewServiceDispatcher(pool, &memoryClaimer{responses: map[string]claims.Response{}}, options),
		Keys:     keyIssuer{},
		Limits:   limits,
	}
	if configure != nil {
		configure(&gatewayOptions)
	}
	f.server = gateway.New(gatewayOptions)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = f.server.Serve(listener)
	}()
	f.address = listener.Addr().String()
	f.url = "http://" + f.address
	f.engineURL = engineURL
	return f, func() {
		// Close has no effect on a server that is not serving yet, so wait until Serve has returned.
		_ = listener.Close()
		<-served
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = f.server.Close(ctx)
		client.Close()
		pool.Close()
		f.engine.Close()
		f.service.Close()
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

type reply struct {
	status  int
	header  http.Header
	body    string
	close   bool
	problem problem.Problem
}

// do sends a request. The headers are name and value pairs and override the default bearer key.
func (f *fixture) do(method, path, body string, headers ...string) reply {
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+memberKey)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	Expect(err).NotTo(HaveOccurred())
	return readReply(response)
}

// sendRaw writes text to a new connection and reads one response.
func (f *fixture) sendRaw(text string) reply {
	conn, err := net.Dial("tcp", f.address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	return readReply(response)
}

// readReply reads a response and checks what every response must have: a request id, and a problem document if it is an
// error.
func readReply(response *http.Response) reply {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	r := reply{status: response.StatusCode, header: response.Header, body: string(body), close: response.Close}
	Expect(r.header.Get("X-Request-Id")).NotTo(BeEmpty())
	if r.status >= 400 {
		Expect(r.header.Get("Content-Type")).To(Equal(problem.ContentType), r.body)
		Expect(json.Unmarshal(body, &r.problem)).To(Succeed())
		Expect(r.problem.Outcome).To(BeElementOf(problem.NotRun, problem.Unknown, problem.Failed))
		Expect(r.problem.Status).To(Equal(r.status))
		Expect(r.problem.RequestID).To(Equal(r.header.Get("X-Request-Id")))
	}
	return r
}

const chatPath = "/v1/chat/completions"

func chat(extra string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"hi"}]%s}`, extra)
}
