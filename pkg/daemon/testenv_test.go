package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/fstest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/internal/standin/link"
	"github.com/mulberryglade/mulberryglade/internal/testbed"
	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/daemon"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

func TestDaemon(t *testing.T) {
	// The timeout only ends a hanging test; no expectation depends on time.
	SetDefaultEventuallyTimeout(40 * time.Second)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	testkit.RunSpecs(t, "daemon")
}

const (
	memberKey = "key-of-the-school-kitchens-in-fault-tests"
	gigabyte  = int64(1) << 30
	// dcA and dcB are in one region, dcC is in another.
	dcA, dcB, dcC = "kathmandu-a", "lalitpur-b", "pokhara-a"
)

// outboundAddress is the source address of connections of a data centre's instances.
var outboundAddress = map[string]string{dcA: "127.0.1.1", dcB: "127.0.1.2", dcC: "127.0.1.3"}

func dataCentreOf(from net.Addr) string {
	for dc, address := range outboundAddress {
		if from.(*net.TCPAddr).IP.String() == address {
			return dc
		}
	}
	return ""
}

type fields = map[string]any

// testEnvOptions describe a deployment. The zero value means one engine and one order desk replica in data centre A.
type testEnvOptions struct {
	dataCentres []string
	// engines and desks are the numbers of replicas in each data centre.
	engines, desks int
	// ignoresFencing makes the engines accept orders with outdated fencing tokens.
	ignoresFencing bool
	models         []fields
	engine         standin.Options
	// partitionable puts a network that can be partitioned in front of the endpoints. An endpoint that restarts is no
	// longer behind it.
	partitionable bool
	// preloaded makes each engine start with all models in memory.
	preloaded bool
}

func model(name string) fields {
	return fields{
		"kind": "Model", "name": name, "service": "assist", "members": []string{"kitchens"}, "version": "1",
		"weightBytes": 10 * gigabyte, "kvReserveBytes": 2 * gigabyte, "acceleratorsPerCopy": 1, "minCopies": 1, "maxCopies": 2,
		"defaultTimeoutMs": 60000, "maxTimeoutMs": 120000, "maxInputTokens": 1000, "maxOutputTokens": 4096,
	}
}

func declarations(o testEnvOptions) []fields {
	key, err := config.HashKey(memberKey)
	Expect(err).NotTo(HaveOccurred())
	records := []fields{
		{
			"kind": "Deployment", "name": "tests", "attainmentWeight": 1, "moveWeight": 1, "placementShards": 1,
			"modelLoadsPerSecond": 1000, "concurrentModelLoads": 100, "concurrentAdapterLoads": 100,
			"regionLinkBitsPerSecond": 1000000000, "queueRequests": 512, "queueBytes": 1 << 25, "retryBudgetRatio": 1,
		},
		{"kind": "Member", "name": "kitchens", "share": 1, "keys": []config.KeyHash{key}},
		{
			"kind": "Service", "name": "assist", "type": "engine",
			"defaultTimeoutMs": 60000, "maxTimeoutMs": 120000, "maxBodyBytes": 1 << 20,
		},
		{
			"kind": "Service", "name": "order-desk", "type": "plain", "members": []string{"kitchens"},
			"routes": []fields{
				{"method": "GET", "pathPrefix": "/", "repeatable": true},
				{"method": "POST", "pathPrefix": "/orders", "repeatable": false, "requireIdempotencyKey": true},
			},
			"defaultTimeoutMs": 60000, "maxTimeoutMs": 120000, "maxBodyBytes": 1 << 20,
		},
	}
	port := 1
	// uniqueURL returns a unique placeholder that the testbed replaces.
	uniqueURL := func() string {
		port++
		return fmt.Sprintf("http://127.0.0.1:%d", port)
	}
	for _, dc := range o.dataCentres {
		region := "bagmati"
		if dc == dcC {
			region = "gandaki"
		}
		records = append(records, fields{"kind": "DataCentre", "name": dc, "region": region})
		for i := range o.engines {
			records = append(records, fields{
				"kind": "Endpoint", "name": engineName(dc, i), "service": "assist", "dataCentre": dc,
				"url": uniqueURL(), "maxConcurrentRequests": 32, "checksFencing": !o.ignoresFencing,
				"accelerators": []fields{{"memoryBytes": 30 * gigabyte}},
			})
		}
		for i := range o.desks {
			records = append(records, fields{
				"kind": "Endpoint", "name": deskName(dc, i), "service": "order-desk", "dataCentre": dc,
				"url": uniqueURL(), "maxConcurrentRequests": 32,
			})
		}
	}
	return append(records, o.models...)
}

func engineName(dc string, i int) string { return fmt.Sprintf("assist-%s-%d", dc, i) }
func deskName(dc string, i int) string   { return fmt.Sprintf("order-desk-%s-%d", dc, i) }

// testEnv is a deployment on loopback addresses.
type testEnv struct {
	bed *testbed.Testbed
	// network connects instances to endpoints. It identifies a data centre by its loopback address.
	network   *link.Network
	instances map[string]*instance
	// storeClockOffsetNs is the time by which the store's clock is ahead.
	storeClockOffsetNs atomic.Int64
	seeds              []string
}

// instance is a running daemon whose connections to the store, callers and peers can be broken.
type instance struct {
	*daemon.Daemon
	faults *daemon.ConnectionFaults
	store  *tcpProxy
	// ended is closed after Run returns; err is its result.
	ended chan struct{}
	err   error
}

func newTestEnv(o testEnvOptions) *testEnv {
	if len(o.dataCentres) == 0 {
		o.dataCentres = []string{dcA}
	}
	o.engines, o.desks = max(o.engines, 1), max(o.desks, 1)
	if o.models == nil {
		o.models = []fields{model("menu")}
	}
	text, err := json.Marshal(fields{"schemaVersion": 2, "records": declarations(o)})
	Expect(err).NotTo(HaveOccurred())
	env := &testEnv{instances: make(map[string]*instance)}
	env.network = link.NewNetwork(func(_, _ string) link.Path { return link.Path{} }, dataCentreOf)
	bed, err := testbed.Start(testbed.Options{
		Declarations: fstest.MapFS{"d/all.json": {Data: text}},
		Folder:       "d",
		Engine: func(config.Endpoint) standin.Options {
			options := o.engine
			options.Faults = standin.NewFaults()
			return options
		},
		Listen: func(dataCentre string) (net.Listener, error) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil || !o.partitionable || dataCentre == "" {
				return inner, err
			}
			return env.network.Listen(inner, dataCentre), nil
		},
	})
	Expect(err).NotTo(HaveOccurred())
	env.bed = bed
	DeferCleanup(env.close)
	bed.Store.Now = func() time.Time { return time.Now().Add(time.Duration(env.storeClockOffsetNs.Load())) }
	Expect(bed.Apply(context.Background(), "initial")).To(Succeed())
	if o.preloaded {
		env.preload(o.models)
	}
	return env
}

// preload loads all models on all engines. It must be called before any instance starts.
func (env *testEnv) preload(models []fields) {
	for _, e := range env.bed.Engines {
		for _, m := range models {
			order := engine.Order{
				ID: "initial-" + m["name"].(string), Verb: engine.VerbLoad, Artifact: artifact(m["name"].(string), "1"),
				Accelerators: []int{0}, BytesPerAccelerator: 12 * gigabyte,
			}
			Expect(e.Memory().Begin(order)).To(Succeed())
			e.Memory().Finish(order)
		}
	}
}

func artifact(name, version string) engine.Artifact {
	return engine.Artifact{Kind: engine.KindModel, Name: name, Version: version}
}

// start runs an instance whose seed peers are the instances started before it.
func (env *testEnv) start(id, dc string) *instance {
	store := newTCPProxy(strings.TrimPrefix(env.bed.StoreURL, "http://"))
	s := env.bed.Settings(id, dc, "127.0.0.1")
	s.Store.URLs = []string{"http://" + store.address()}
	s.SeedPeers = append([]string(nil), env.seeds...)
	s.Shutdown.GraceMs = 0
	s.ExchangeIntervalMs = 100
	s.OutboundAddress = outboundAddress[dc]
	d, err := daemon.New(s, zap.NewNop())
	Expect(err).NotTo(HaveOccurred())
	i := &instance{Daemon: d, faults: daemon.NewConnectionFaults(d), store: store, ended: make(chan struct{})}
	env.seeds = append(env.seeds, d.Addresses().Peer)
	env.instances[id] = i
	go func() {
		defer close(i.ended)
		i.err = d.Run(context.Background())
	}()
	return i
}

// change returns a copy of the declarations with each record edited.
func (env *testEnv) change(edit func(kind config.Kind, name string, record fields)) []config.RawRecord {
	var records []config.RawRecord
	for _, r := range env.bed.Records {
		record := maps.Clone(r.Fields)
		edit(r.Kind, r.Name, record)
		records = append(records, config.NewRawRecord(r.File, r.Pointer, record))
	}
	return records
}

// apply edits the declarations and applies them to the store, as an operator does.
func (env *testEnv) apply(changeID string, edit func(kind config.Kind, name string, record fields)) configstore.Result {
	GinkgoHelper()
	env.bed.Records = env.change(edit)
	result, err := env.repository().Apply(context.Background(), configstore.Change{ID: changeID, Records: env.bed.Records})
	Expect(err).NotTo(HaveOccurred())
	return result
}

func (env *testEnv) repository() *configstore.Repository {
	return configstore.New(env.bed.Store, configstore.Options{Prefix: settings.DefaultStorePrefix})
}

// startReady starts an instance and waits until it has a configuration and a report of each endpoint.
func (env *testEnv) startReady(id, dc string) *instance {
	i := env.start(id, dc)
	Eventually(i.ready).Should(Succeed())
	return i
}

func (i *instance) ready() error {
	if err := i.Ready(); err != nil {
		return err
	}
	for _, e := range i.EndpointList() {
		if e.ReportAgeMs < 0 {
			return fmt.Errorf("no report of %s", e.Name)
		}
	}
	return nil
}

// expireLeases expires the placement leases of all instances at the store.
func (env *testEnv) expireLeases() {
	env.storeClockOffsetNs.Add(int64(daemon.TestLeaseTTL))
	env.bed.Store.ExpireLeases()
}

// setPartition disconnects a data centre from the others and from the store, or reconnects it.
func (env *testEnv) setPartition(dc string, partitioned bool) {
	for other := range outboundAddress {
		if other != dc {
			env.network.SetPartition(dc, other, partitioned)
		}
	}
	for _, i := range env.instances {
		if i.Status().DataCentre == dc {
			i.store.setOpen(!partitioned)
		}
		for _, other := range env.instances {
			if (i.Status().DataCentre == dc) != (other.Status().DataCentre == dc) {
				i.faults.SetReachable(other.Addresses().Peer, !partitioned)
			}
		}
	}
}

// crash ends the process of an instance abruptly.
func (i *instance) crash() {
	i.store.setOpen(false)
	i.faults.Crash()
}

func (env *testEnv) close() {
	for _, i := range env.instances {
		i.Stop()
	}
	for _, i := range env.instances {
		Eventually(i.ended).Should(BeClosed())
		i.store.close()
	}
	env.bed.Close()
}

// tcpProxy is a TCP proxy that can simulate a network partition.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	closed bool
	conns  []net.Conn
}

func newTCPProxy(target string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &tcpProxy{listener: listener, target: target}
	go p.serve()
	return p
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

func (p *tcpProxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil || !p.add(in, out) {
			_ = in.Close()
			continue
		}
		go pipe(in, out)
		go pipe(out, in)
	}
}

func (p *tcpProxy) add(in, out net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = out.Close()
		return false
	}
	p.conns = append(p.conns, in, out)
	return true
}

func pipe(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
}

// setOpen sets whether the proxy accepts connections. If it does not, the existing connections are broken too.
func (p *tcpProxy) setOpen(open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = !open
	if open {
		return
	}
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.setOpen(false)
}

// reply is the result of a call as its caller sees it.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem problem.Problem
	// err is set when the connection broke before the end of the response.
	err error
}

// client opens a connection for each request, since Go's client repeats requests on reused connections.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (i *instance) do(method, path, body string, headers ...string) reply {
	request, err := http.NewRequest(method, "http://"+i.Addresses().Caller+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+memberKey)
	for n := 0; n < len(headers); n += 2 {
		request.Header.Set(headers[n], headers[n+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	r := reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
	if r.status >= http.StatusBadRequest && err == nil {
		r.err = json.Unmarshal(text, &r.problem)
	}
	return r
}

// outcome returns what the caller may assume of its request, which is unknown without a response. It is empty after a
// complete response.
func (r reply) outcome() problem.Outcome {
	switch {
	case r.err != nil:
		return problem.Unknown
	case r.status < http.StatusBadRequest:
		return ""
	default:
		return r.problem.Outcome
	}
}

func (i *instance) order(id, key string) reply {
	return i.do(http.MethodPost, "/v1/services/order-desk/orders", fmt.Sprintf(`{"orderId":%q}`, id), "Idempotency-Key", key)
}

func (i *instance) issueKey() string {
	r := i.do(http.MethodPost, "/v1/idempotency-keys", "")
	Expect(r.outcome()).To(BeEmpty(), r.body)
	var issued struct{ Key string }
	Expect(json.Unmarshal([]byte(r.body), &issued)).To(Succeed())
	return issued.Key
}

// inBackground runs a call in a goroutine and returns a channel that receives its result.
func inBackground[T any](call func() T) <-chan T {
	result := make(chan T, 1)
	go func() {
		defer GinkgoRecover()
		result <- call()
	}()
	return result
}
