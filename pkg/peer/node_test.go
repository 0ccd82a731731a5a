package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

type fakeLocal struct {
	mu       sync.Mutex
	presence Presence
	load     Load
}

func (f *fakeLocal) Presence() Presence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.presence
}

func (f *fakeLocal) Load() Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load.clone()
}

type fakeSink struct {
	mu    sync.Mutex
	loads map[string]Load
}

func (f *fakeSink) SetLoad(source string, load Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[source] = load
}

func (f *fakeSink) RemoveLoad(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.loads, source)
}

type fakeAnnouncer struct {
	mu        sync.Mutex
	announced map[string]int64
}

func (f *fakeAnnouncer) Announce(peer string, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced[peer] = revision
}

func (f *fakeAnnouncer) Forget(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.announced, peer)
}

// fakeMeter is a ControlMeter that sums the bytes.
type fakeMeter struct {
	bytes int
}

func (f *fakeMeter) ConsumeControl(bytes int) {
	f.bytes += bytes
}

// instance is a node and its server on a loopback port.
type instance struct {
	node      *Node
	local     *fakeLocal
	sink      *fakeSink
	announcer *fakeAnnouncer
	meter     *fakeMeter
	address   string
}

func startInstance(id, incarnation, dataCentre, token string, now func() time.Time) *instance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	in := &instance{
		local:     &fakeLocal{load: newLoad()},
		sink:      &fakeSink{loads: make(map[string]Load)},
		announcer: &fakeAnnouncer{announced: make(map[string]int64)},
		meter:     &fakeMeter{},
		address:   address,
	}
	in.node = NewNode(Options{
		Self: Identity{
			InstanceID:  id,
			Incarnation: incarnation,
			DataCentre:  dataCentre,
			Region:      "region of " + dataCentre,
			Address:     address,
		},
		Interval:  time.Second,
		Local:     in.local,
		Sink:      in.sink,
		Announcer: in.announcer,
		Control:   in.meter,
		Dial:      NewDialer(token, nil),
		Log:       zap.NewNop(),
		Scope:     tally.NoopScope,
		Now:       now,
	})
	server := NewHTTPServer(NewServer(in.node, nil, nil), token, false)
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			panic(err)
		}
	}()
	DeferCleanup(server.Close)
	return in
}

func (in *instance) exchange(with *instance) error {
	in.node.Refresh()
	with.node.Refresh()
	return in.node.Exchange(context.Background(), with.address)
}

var _ = Describe("exchange between instances", func() {
	var now time.Time
	clock := func() time.Time { return now }

	BeforeEach(func() { now = time.Unix(1000, 0) })

	It("transfers load, presence and known peers in both directions", func() {
		a := startInstance("a", "1", "x", "secret", clock)
		b := startInstance("b", "1", "x", "secret", clock)
		a.local.load.Endpoints[11] = 3
		b.local.load.Models["m"] = ModelDemand{Waiting: 2}
		b.local.presence.ConfigRevision = 42
		a.node.Table.RecordMention(Identity{InstanceID: "c", DataCentre: "x", Address: "127.0.0.1:1"})

		Expect(a.exchange(b)).To(Succeed())
		// The first exchange with an unknown address does not contain the caller's load.
		Expect(a.exchange(b)).To(Succeed())

		Expect(b.sink.loads["a"].Endpoints).To(HaveKeyWithValue(uint64(11), uint32(3)))
		Expect(a.sink.loads["b"].Models["m"].Waiting).To(Equal(uint32(2)))
		Expect(a.announcer.announced).To(HaveKeyWithValue("b", int64(42)))
		_, known := b.node.Table.Find("c")
		Expect(known).To(BeTrue())
	})

	It("rejects a peer without the shared token", func() {
		a := startInstance("a", "1", "x", "wrong", clock)
		b := startInstance("b", "1", "x", "secret", clock)
		err := a.exchange(b)
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnauthenticated))
		Expect(b.node.Table.All()).To(BeEmpty())
	})

	It("sends the full state again to a peer that restarted", func() {
		a := startInstance("a", "1", "x", "", clock)
		b1 := startInstance("b", "1", "x", "", clock)
		a.local.load.Endpoints[11] = 3
		Expect(a.exchange(b1)).To(Succeed())
		Expect(a.exchange(b1)).To(Succeed())

		b2 := startInstance("b", "2", "x", "", clock)
		Expect(a.exchange(b2)).To(Succeed())
		Expect(a.exchange(b2)).To(Succeed())
		Expect(b2.sink.loads["a"].Endpoints).To(HaveKeyWithValue(uint64(11), uint32(3)))
	})

	It("removes the load of a peer that became silent", func() {
		a := startInstance("a", "1", "x", "", clock)
		b := startInstance("b", "1", "x", "", clock)
		b.local.load.Endpoints[11] = 3
		Expect(a.exchange(b)).To(Succeed())
		Expect(a.sink.loads).To(HaveKey("b"))

		now = now.Add(livenessTimeout + time.Second)
		a.node.Refresh()
		Expect(a.sink.loads).NotTo(HaveKey("b"))
		Expect(a.node.Table.Live()).To(BeEmpty())
	})

	// Guards against counting a member's service twice: a receiver treats a decreasing sum as a restart of the source.
	It("keeps the sum of a data centre from decreasing when an instance leaves", func() {
		a := startInstance("a", "1", "x", "", clock)
		b := startInstance("b", "1", "x", "", clock)
		remote := startInstance("far", "1", "y", "", clock)
		exchangeAll := func() {
			Expect(a.exchange(b)).To(Succeed())
			Expect(a.exchange(remote)).To(Succeed())
		}
		for range 3 {
			exchangeAll()
		}
		a.local.load.Members["m"] = MemberUsage{Service: 100}
		b.local.load.Members["m"] = MemberUsage{Service: 50}
		for range 2 {
			exchangeAll()
		}
		Expect(remote.sink.loads["dc:x"].Members["m"].Service).To(Equal(150.0))

		for elapsed := time.Duration(0); elapsed < 2*removalTimeout; elapsed += livenessTimeout {
			now = now.Add(livenessTimeout)
			Expect(a.exchange(remote)).To(Succeed())
			Expect(remote.sink.loads["dc:x"].Members["m"].Service).To(Equal(150.0))
		}
	})

	It("sends the sum to another data centre and forwards the other's sum within its own", func() {
		a := startInstance("a", "1", "x", "", clock)
		b := startInstance("b", "1", "x", "", clock)
		remote := startInstance("far", "1", "y", "", clock)
		a.local.load.Endpoints[11] = 3
		b.local.load.Endpoints[11] = 4
		remote.local.load.Endpoints[99] = 5
		for range 3 {
			Expect(a.exchange(b)).To(Succeed())
			Expect(a.exchange(remote)).To(Succeed())
		}
		Expect(remote.sink.loads).To(HaveLen(1))
		Expect(a.meter.bytes).To(BeNumerically(">", 0), "exchanges between regions count as control traffic")
		Expect(b.meter.bytes).To(BeZero())
		Expect(remote.sink.loads["dc:x"].Endpoints).To(HaveKeyWithValue(uint64(11), uint32(7)))
		Expect(b.sink.loads["dc:y"].Endpoints).To(HaveKeyWithValue(uint64(99), uint32(5)))
	})
})

// meshTable returns the table of one instance of a data centre whose instances are all live.
func meshTable(size, self int, clock func() time.Time) *Table {
	table := NewTable(Identity{InstanceID: fmt.Sprint("i", self), DataCentre: "x"}, clock)
	for i := range size {
		table.RecordExchange(Identity{InstanceID: fmt.Sprint("i", i), DataCentre: "x"}, Presence{})
	}
	return table
}

func lastInRelayOrder(size int, clock func() time.Time) int {
	for self := range size {
		if meshTable(size, self, clock).RelayPosition() == size-1 {
			return self
		}
	}
	panic("no instance is the last")
}

var _ = Describe("relay succession", func() {
	var now time.Time
	clock := func() time.Time { return now }
	// order returns three ids in relay order for the data centre.
	order := func() []string {
		ids := []string{"a", "b", "c"}
		for i := range ids {
			for j := i + 1; j < len(ids); j++ {
				if rendezvousRank("x", ids[j]) < rendezvousRank("x", ids[i]) {
					ids[i], ids[j] = ids[j], ids[i]
				}
			}
		}
		return ids
	}

	// Guards against a relay without store contact that is not replaced, and against all instances calling the store
	// during an outage.
	DescribeTable("makes the third instance in relay order a relay only if it must take over:",
		func(firstAge, secondAge time.Duration, want bool) {
			now = time.Unix(1000, 0)
			ids := order()
			table := NewTable(Identity{InstanceID: ids[2], DataCentre: "x"}, clock)
			table.RecordExchange(Identity{InstanceID: ids[0], DataCentre: "x"}, Presence{StoreContactAge: firstAge})
			table.RecordExchange(Identity{InstanceID: ids[1], DataCentre: "x"}, Presence{StoreContactAge: secondAge})
			Expect(table.IsRelay()).To(Equal(want))
		},
		Entry("the first has store contact", time.Second, time.Hour, false),
		Entry("the second has store contact", time.Hour, time.Second, false),
		Entry("neither had contact, for less than the takeover age of the third", 8*time.Second, 8*time.Second, false),
		Entry("neither had contact, for longer than the takeover age of the third", 11*time.Second, 11*time.Second, true),
	)

	// Guards against one instance that exchanges with all other data centres, and against a data centre with which no
	// instance exchanges.
	It("spreads the contacts with other data centres over the instances, one for each", func() {
		now = time.Unix(1000, 0)
		contacts := make(map[string]int)
		for dc := range 13 {
			contactCount := 0
			for self := range 28 {
				table := meshTable(28, self, clock)
				if table.IsContact(fmt.Sprint("dc", dc)) {
					contactCount++
					contacts[table.self.InstanceID]++
				}
			}
			Expect(contactCount).To(Equal(1))
		}
		Expect(len(contacts)).To(BeNumerically(">", 6))
	})

	// Guards against arrivals that are sent to every instance of a large mesh, and against a placement lease holder that
	// does not receive them.
	It("sends arrivals to the first instances in relay order of a large mesh, and to all of a small one", func() {
		now = time.Unix(1000, 0)
		for size, want := range map[int]int{7: 6, 28: demandReceivers} {
			receivers := 0
			for to := range size {
				// The sender is the last in relay order, so it is not among the receivers itself.
				table := meshTable(size, lastInRelayOrder(size, clock), clock)
				id := fmt.Sprint("i", to)
				node := &Node{Table: table}
				if id != table.self.InstanceID && node.receivesDemand(id) {
					receivers++
				}
			}
			Expect(receivers).To(Equal(want))
		}
	})

	It("makes the first instance in relay order a relay regardless of its store contact", func() {
		now = time.Unix(1000, 0)
		ids := order()
		table := NewTable(Identity{InstanceID: ids[0], DataCentre: "x"}, clock)
		table.RecordExchange(Identity{InstanceID: ids[1], DataCentre: "x"}, Presence{})
		Expect(table.IsRelay()).To(BeTrue())
	})
})
