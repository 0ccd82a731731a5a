package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// simulatedStore is a store in process time whose clients have faults of their own. The latest change of each key is
// kept; history before compactedBefore is gone.
type simulatedStore struct {
	mu              sync.Mutex
	revision        kvstore.Revision
	items           map[string]kvstore.KeyValue
	history         []kvstore.Event
	compactedBefore kvstore.Revision
	// muted is set while watches hear of no changes.
	muted   bool
	changed chan struct{}
}

func newSimulatedStore() *simulatedStore {
	return &simulatedStore{revision: 1, items: make(map[string]kvstore.KeyValue), changed: make(chan struct{})}
}

func (s *simulatedStore) put(key string, value []byte) {
	s.write(kvstore.Event{KeyValue: kvstore.KeyValue{Key: key, Value: value}})
}

func (s *simulatedStore) delete(key string) {
	s.write(kvstore.Event{KeyValue: kvstore.KeyValue{Key: key}, Deleted: true})
}

func (s *simulatedStore) write(event kvstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	event.ModRevision = s.revision
	event.CreateRevision = cmp.Or(s.items[event.Key].CreateRevision, s.revision)
	delete(s.items, event.Key)
	if !event.Deleted {
		s.items[event.Key] = event.KeyValue
	}
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// mute keeps changes from watches until the store compacts its history.
func (s *simulatedStore) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = true
}

// compact drops the history, so that pending watches fail.
func (s *simulatedStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = false
	s.compactedBefore = s.revision + 1
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// eventsAfter returns the changes after a revision, or a channel that is closed at the next one.
func (s *simulatedStore) eventsAfter(after kvstore.Revision) ([]kvstore.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after+1 < s.compactedBefore {
		return nil, nil, kvstore.ErrCompacted
	}
	for i := range s.history {
		if s.history[i].ModRevision > after && !s.muted {
			return slices.Clone(s.history[i:]), nil, nil
		}
	}
	return nil, s.changed, nil
}

// storeFault is what happens to the calls of one client.
type storeFault int

const (
	storeSound storeFault = iota
	// storeSilent calls get no reply.
	storeSilent
	// storeRefuses calls fail at once.
	storeRefuses
)

// simulatedClient is one instance's connection to the store. It implements the part of kvstore.Store that a storeWatcher
// uses.
type simulatedClient struct {
	kvstore.Store
	store *simulatedStore
	mu    sync.Mutex
	fault storeFault
	// watches and reads count the calls of either kind.
	watches, reads int
	// latency is the time of a call without faults.
	latency time.Duration
}

func (c *simulatedClient) setFault(f storeFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

func (c *simulatedClient) countWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watches++
}

// calls returns the numbers of watches and of reads of all entries so far.
func (c *simulatedClient) calls() (watches, reads int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watches, c.reads
}

// transfer takes half of a call's latency. It fails according to the fault.
func (c *simulatedClient) transfer(ctx context.Context) error {
	c.mu.Lock()
	fault := c.fault
	c.mu.Unlock()
	switch fault {
	case storeRefuses:
		return kvstore.ErrUnavailable
	case storeSilent:
		<-ctx.Done()
		return kvstore.ErrUnavailable
	}
	sleep(ctx, c.latency/2)
	return nil
}

// simulatedCallTimeout bounds a read of all entries, simulatedWatchTimeout the time until the reply to a watch begins, as the
// platform's client of the store does.
const (
	simulatedCallTimeout  = time.Second
	simulatedWatchTimeout = 2 * time.Second
)

// Range implements kvstore.Reader.
func (c *simulatedClient) Range(ctx context.Context, _ string) ([]kvstore.KeyValue, kvstore.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, simulatedCallTimeout)
	defer cancel()
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	if err := c.transfer(ctx); err != nil {
		return nil, 0, err
	}
	c.store.mu.Lock()
	revision := c.store.revision
	var items []kvstore.KeyValue
	for _, item := range c.store.items {
		items = append(items, item)
	}
	c.store.mu.Unlock()
	return items, revision, c.transfer(ctx)
}

// Watch implements kvstore.Watcher.
func (c *simulatedClient) Watch(_ context.Context, _ string, from kvstore.Revision) (kvstore.Watch, error) {
	return &simulatedWatch{client: c, after: from - 1}, nil
}

type simulatedWatch struct {
	client *simulatedClient
	after  kvstore.Revision
}

// Next implements kvstore.Watch.
func (w *simulatedWatch) Next(ctx context.Context) ([]kvstore.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, simulatedWatchTimeout)
	defer cancel()
	w.client.countWatch()
	if err := w.client.transfer(ctx); err != nil {
		return nil, err
	}
	events, changed, err := w.client.store.eventsAfter(w.after)
	if err != nil {
		return nil, err
	}
	for changed != nil {
		select {
		case <-changed:
			events, changed, err = w.client.store.eventsAfter(w.after)
		case <-ctx.Done():
			return nil, kvstore.ErrUnavailable
		}
	}
	if err != nil {
		return nil, err
	}
	if err := w.client.transfer(ctx); err != nil {
		return nil, err
	}
	if len(events) > 0 {
		w.after = events[len(events)-1].ModRevision
	}
	return events, nil
}

// Close implements kvstore.Watch.
func (w *simulatedWatch) Close() {}

// simulatedNetwork carries datagrams between instances. It loses some, delivers some twice and some late.
type simulatedNetwork struct {
	mu     sync.Mutex
	random *rand.Rand
	conns  map[string]*simulatedConn
	// loss is the share of datagrams that get lost.
	loss float64
	// cutOff are the addresses whose datagrams all get lost.
	cutOff map[string]bool
}

const (
	datagramDelay     = 2 * time.Millisecond
	lateDatagramDelay = 150 * time.Millisecond
	lateShare         = 0.02
	repeatedShare     = 0.01
)

// setCutOff loses all datagrams of an address, or no longer.
func (n *simulatedNetwork) setCutOff(address string, cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[address] = cutOff
}

// delays returns the delays with which a datagram is delivered; none if it is lost.
func (n *simulatedNetwork) delays(from, to string) []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutOff[from] || n.cutOff[to] || n.random.Float64() < n.loss {
		return nil
	}
	delays := []time.Duration{datagramDelay}
	if n.random.Float64() < lateShare {
		delays[0] = lateDatagramDelay
	}
	if n.random.Float64() < repeatedShare {
		delays = append(delays, lateDatagramDelay)
	}
	return delays
}

func (n *simulatedNetwork) conn(address string) *simulatedConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[address]
}

// listen returns the socket of an address.
func (n *simulatedNetwork) listen(address string) *simulatedConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &simulatedConn{network: n, address: address, received: make(chan []byte, 1024), closed: make(chan struct{})}
	n.conns[address] = c
	return c
}

// simulatedConn is one instance's socket.
type simulatedConn struct {
	net.PacketConn
	network  *simulatedNetwork
	address  string
	received chan []byte
	closed   chan struct{}
}

// WriteTo implements net.PacketConn.
func (c *simulatedConn) WriteTo(data []byte, to net.Addr) (int, error) {
	peer := c.network.conn(to.String())
	if peer == nil {
		return len(data), nil
	}
	sent := slices.Clone(data)
	for _, delay := range c.network.delays(c.address, to.String()) {
		time.AfterFunc(delay, func() { peer.deliver(sent) })
	}
	return len(data), nil
}

func (c *simulatedConn) deliver(data []byte) {
	select {
	case c.received <- data:
	case <-c.closed:
	default:
	}
}

// ReadFrom implements net.PacketConn.
func (c *simulatedConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case data := <-c.received:
		return copy(buffer, data), nil, nil
	case <-c.closed:
		return 0, nil, errors.WithStack(net.ErrClosed)
	}
}

// Close implements net.PacketConn.
func (c *simulatedConn) Close() error {
	close(c.closed)
	return nil
}

// simulatedInstance is the part of an instance that follows the store and exchanges messages.
type simulatedInstance struct {
	settings Settings
	client   *simulatedClient
	// impairedUntil is the end of the last fault of the instance itself.
	impairedUntil time.Time

	// server is nil while the instance does not run. stop ends its tasks.
	server *Server
	stop   context.CancelFunc
	tasks  conc.WaitGroup
}

// start runs a server without any state.
func (i *simulatedInstance) start(server *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	i.server, i.stop = server, cancel
	watcher := &storeWatcher{server: server, store: i.client}
	i.tasks.Go(func() { watcher.run(ctx) })
	i.tasks.Go(func() { server.exchange.Run(ctx) })
}

// kill ends the server.
func (i *simulatedInstance) kill() {
	i.stop()
	i.tasks.Wait()
	i.server = nil
}

// loseStore takes the store from the instance for a time.
func (i *simulatedInstance) loseStore(fault storeFault, duration time.Duration) {
	i.client.setFault(fault)
	time.AfterFunc(duration, func() { i.client.setFault(storeSound) })
}

// usable returns the endpoints to which the instance may send a request.
func (i *simulatedInstance) usable() map[string]bool {
	usable := make(map[string]bool)
	now := time.Now()
	demand := &fleet.Demand{Service: simulatedService}
	i.server.deps.Fleet.View(simulatedService, func(endpoints []*fleet.Endpoint) {
		for k, e := range endpoints {
			if fleet.Choose(endpoints[k:k+1], demand, fleet.DefaultEngineSpeed(), i.server.distance, now).Candidates > 0 {
				usable[e.ID] = true
			}
		}
	})
	return usable
}

// version returns the version of the configuration in force; zero if there is none.
func (i *simulatedInstance) version() int64 {
	if table := i.server.table.Load(); table != nil {
		return table.Config.Version
	}
	return 0
}

const (
	simulatedService    = "s"
	simulatedConfigKey  = "configuration"
	simulatedEndpoints  = "endpoints/"
	simulatedConfigSize = 200
)

func simulatedDecoder() EntryDecoder {
	decoder := testConfigDecoder()
	decoder.ConfigKey, decoder.EndpointPrefix = simulatedConfigKey, simulatedEndpoints
	decoder.Endpoint = func(_ string, value []byte) (fleet.Announcement, error) {
		var a fleet.Announcement
		return a, json.Unmarshal(value, &a)
	}
	return decoder
}

// simulatedConfig returns the entry of a version, in the format of testConfigDecoder.
func simulatedConfig(version int64) []byte {
	return []byte(fmt.Sprintf("%-8d", version) + strings.Repeat("x", simulatedConfigSize))
}
