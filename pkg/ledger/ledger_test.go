package ledger

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

func TestLedger(t *testing.T) {
	testkit.RunSpecs(t, "ledger")
}

// lease is a guard whose local view can differ from the store.
type lease struct {
	at   kvstore.Revision
	held bool
}

func (l *lease) Condition() (kvstore.Condition, bool) {
	return kvstore.Condition{Key: "holder", Field: kvstore.CreateRevision, Equals: l.at}, l.held
}

var (
	here   = Endpoint{DataCentre: "kathmandu-a", Name: "e1"}
	there  = Endpoint{DataCentre: "kathmandu-a", Name: "e2"}
	menus  = engine.Artifact{Kind: engine.KindModel, Name: "menus", Version: "1"}
	menus2 = engine.Artifact{Kind: engine.KindModel, Name: "menus", Version: "2"}
	ilam   = engine.Artifact{Kind: engine.KindAdapter, Name: "menus-ilam", Version: "1"}
)

// fixture is a ledger of two endpoints, each with a session fenced as "f1" to incarnation "i1".
type fixture struct {
	store  *kv.Memory
	guard  *lease
	ledger *Ledger
}

func newFixture(held ...engine.LoadedArtifact) *fixture {
	f := &fixture{store: kv.NewMemory(), guard: &lease{held: true}}
	f.ledger = New(f.store, "t/")
	results, err := f.store.Commit(context.Background(), []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: "holder"}}}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	f.guard.at = results[0].Revision
	for _, endpoint := range []Endpoint{here, there} {
		record, err := f.ledger.Fence(context.Background(), f.guard, endpoint, "f1", []int64{100, 50})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.ledger.Reconcile(context.Background(), f.guard, record, observation(record, held...))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
	return f
}

func observation(record Record, held ...engine.LoadedArtifact) Observation {
	return Observation{
		Incarnation: "i1",
		Report:      engine.Report{Incarnation: "i1", Artifacts: held, LastOrders: []string{record.Fence.OrderID}},
		Fence:       *record.Fence,
		LastOrderID: record.Fence.OrderID,
	}
}

func loadedOn(artifact engine.Artifact, bytes int64, accelerators ...int) engine.LoadedArtifact {
	return engine.LoadedArtifact{Artifact: artifact, State: engine.StateLoaded, Accelerators: accelerators, BytesPerAccelerator: bytes}
}

func loadOf(artifact engine.Artifact, accelerators int, bytes int64) Request {
	return Request{
		OrderID: "o1", Verb: engine.VerbLoad, Artifact: artifact, AcceleratorCount: accelerators, Bytes: bytes,
		CapacityBytes: []int64{100, 50}, Incarnation: "i1", SessionFence: "f1",
	}
}

func unloadOf(artifact engine.Artifact, witness *Endpoint) Request {
	request := loadOf(artifact, 0, 0)
	request.Verb = engine.VerbUnload
	request.Witness = witness
	return request
}

func edited(request Request, edit func(*Request)) Request {
	edit(&request)
	return request
}

// Each entry guards against an order that the rules forbid.
var _ = ginkgo.DescribeTable("refuses a reservation",
	func(held []engine.LoadedArtifact, pending *Request, request Request, want error) {
		f := newFixture(held...)
		if pending != nil {
			_, _, err := f.ledger.Reserve(context.Background(), f.guard, here, *pending)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		before, err := f.ledger.Read(context.Background(), here)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, _, err = f.ledger.Reserve(context.Background(), f.guard, here, request)
		gomega.Expect(err).To(gomega.MatchError(want))
		gomega.Expect(f.ledger.Read(context.Background(), here)).To(gomega.Equal(before))
	},
	ginkgo.Entry("of another session", nil, nil, edited(loadOf(menus, 1, 10), func(r *Request) { r.SessionFence = "f0" }), ErrStaleSession),
	ginkgo.Entry("of another incarnation", nil, nil, edited(loadOf(menus, 1, 10), func(r *Request) { r.Incarnation = "i0" }), ErrStaleSession),
	ginkgo.Entry("of a loaded artifact", []engine.LoadedArtifact{loadedOn(menus, 10, 0)}, nil, loadOf(menus, 1, 10), ErrAlreadyReserved),
	ginkgo.Entry("for an unload while a load is pending", nil, new(loadOf(menus, 1, 10)),
		edited(unloadOf(menus, nil), func(r *Request) { r.OrderID, r.Withdrawn = "o2", true }), ErrOrderPending),
	ginkgo.Entry("for the unload of something that is not held", nil, nil, unloadOf(menus, nil), ErrNotLoaded),
	ginkgo.Entry("for the unload of the last copy", []engine.LoadedArtifact{loadedOn(menus, 10, 0)}, nil, unloadOf(menus, nil), ErrLastCopy),
	ginkgo.Entry("of an adapter without its model", nil, nil, edited(loadOf(ilam, 0, 5), func(r *Request) { r.Base = "menus" }), ErrBaseNotLoaded),
	ginkgo.Entry("beyond the memory, with the arithmetic", []engine.LoadedArtifact{loadedOn(menus, 45, 0)}, nil, loadOf(menus2, 1, 60), &DoesNotFitError{
		Artifact: menus2, AcceleratorsNeeded: 1, BytesPerAccelerator: 60, CapacityBytes: []int64{100, 50}, UsedBytes: []int64{45, 0}, Candidates: []int{0, 1},
	}),
)

// Each entry guards against memory that is given away while the load that it was reserved for can still arrive, or that
// is kept although it cannot.
var _ = ginkgo.DescribeTable("a load without a reply and absent from the report",
	func(checksFencing bool, edit func(*Observation), kept bool) {
		f := newFixture()
		ctx := context.Background()
		_, _, err := f.ledger.Reserve(ctx, f.guard, here, loadOf(menus, 1, 40))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		fenced, err := f.ledger.Fence(ctx, f.guard, here, "f2", []int64{100, 50})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		seen := observation(fenced)
		seen.ChecksFencing = checksFencing
		seen.LastFencingNumber = seen.Fence.FencingNumber
		edit(&seen)
		record, err := f.ledger.Reconcile(ctx, f.guard, fenced, seen)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(record.Find(menus) != nil).To(gomega.Equal(kept))
		gomega.Expect(record.UsedBytes()[1] == 40).To(gomega.Equal(kept))
	},
	ginkgo.Entry("stays on an engine that ignores fencing numbers", false, func(*Observation) {}, true),
	ginkgo.Entry("stays on an engine that only claims to check them", true, func(*Observation) {}, true),
	ginkgo.Entry("is released when the engine checks the newer number", true, func(o *Observation) { o.Report.HighestFencingNumber = o.Fence.FencingNumber }, false),
	ginkgo.Entry("is released when the order was executed", false, func(o *Observation) { o.Report.LastOrders = []string{"o1", "f2"} }, false),
	ginkgo.Entry("is released by a new incarnation", false, func(o *Observation) { o.Incarnation, o.Report.Incarnation = "i2", "i2" }, false),
)

var _ = ginkgo.Describe("a reservation", func() {
	ctx := context.Background()

	// Guards against orders whose numbers do not grow, and against an order that is reserved twice after a lost reply.
	ginkgo.It("reads its fencing number back after a lost reply", func() {
		f := newFixture()
		f.store.Faults.Next(kv.CallCommit, kv.Fault{DropReply: true})
		first, _, err := f.ledger.Reserve(ctx, f.guard, here, loadOf(menus, 1, 40))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		second, record, err := f.ledger.Reserve(ctx, f.guard, here, edited(loadOf(menus2, 1, 40), func(r *Request) { r.OrderID = "o2" }))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(second.FencingNumber).To(gomega.BeNumerically(">", first.FencingNumber))
		gomega.Expect(record.Find(menus).FencingNumber).To(gomega.Equal(first.FencingNumber))
		gomega.Expect(record.UsedBytes()).To(gomega.Equal([]int64{40, 40}), "the accelerator with the least sufficient memory is used first")
	})

	// Guards against writes of a holder whose lease expired unnoticed.
	ginkgo.It("is not written without the lease", func() {
		f := newFixture()
		_, err := f.store.Commit(ctx, []kvstore.ConditionalWrite{{Deletes: []string{"holder"}}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, _, err = f.ledger.Reserve(ctx, f.guard, here, loadOf(menus, 1, 40))
		gomega.Expect(err).To(gomega.MatchError(ErrLeaseNotHeld))
	})

	// Guards against a report of the past that releases what was loaded after it, and against one that is judged by a
	// session which another one replaced.
	ginkgo.It("is released by a fresh report of the latest session only", func() {
		f := newFixture(loadedOn(menus, 40, 0))
		record, err := f.ledger.Read(ctx, here)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		old := observation(record)
		old.Report.LastOrders = nil
		_, err = f.ledger.Reconcile(ctx, f.guard, record, old)
		gomega.Expect(err).To(gomega.MatchError(ErrReportTooOld))
		_, err = f.ledger.Fence(ctx, f.guard, here, "f2", []int64{100, 50})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.ledger.Reconcile(ctx, f.guard, record, observation(record))
		gomega.Expect(err).To(gomega.MatchError(ErrStaleSession))
	})

	// Guards against an older report that arrives after the one which showed a late order.
	ginkgo.It("of a late order outlives an older report", func() {
		f := newFixture()
		_, _, err := f.ledger.Reserve(ctx, f.guard, here, loadOf(menus, 1, 40))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		fenced, err := f.ledger.Fence(ctx, f.guard, here, "f2", []int64{100, 50})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		arrived := observation(fenced, loadedOn(menus, 40, 1))
		arrived.LastFencingNumber = fenced.Fence.FencingNumber
		older := arrived
		older.Report.Artifacts = nil
		arrived.Report.LastOrders = []string{"f2", "o1"}
		record, err := f.ledger.Reconcile(ctx, f.guard, fenced, arrived)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.ledger.Reconcile(ctx, f.guard, record, older)
		gomega.Expect(err).To(gomega.MatchError(ErrFenceNeeded))
	})

	// Guards against a store read for every report.
	ginkgo.It("that a report confirms costs no store call", func() {
		f := newFixture(loadedOn(menus, 40, 0))
		record, err := f.ledger.Read(ctx, here)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.store.Faults.SetDown(true)
		gomega.Expect(f.ledger.Reconcile(ctx, f.guard, record, observation(record, loadedOn(menus, 40, 0)))).To(gomega.Equal(record))
		f.store.Faults.SetDown(false)
		_, _, err = f.ledger.Reserve(ctx, f.guard, here, edited(unloadOf(menus, nil), func(r *Request) { r.Withdrawn = true }))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		empty, err := f.ledger.Resolve(ctx, f.guard, here, "o1", Executed)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.store.Faults.SetDown(true)
		gomega.Expect(f.ledger.Reconcile(ctx, f.guard, empty, observation(empty))).To(gomega.Equal(empty))
	})

	// Guards against memory that stays hidden when the declared size shrinks.
	ginkgo.It("beyond a reduced memory is shown", func() {
		f := newFixture(loadedOn(menus, 40, 0))
		record, err := f.ledger.Fence(ctx, f.guard, here, "f2", []int64{30, 50})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(record.Overcommitted()).To(gomega.Equal([]int{0}))
	})

	// Guards against a record of a newer build that is overwritten by an older one.
	ginkgo.It("of a newer schema is left alone", func() {
		f := newFixture()
		_, err := f.store.Commit(ctx, []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: "t/ledger/kathmandu-a/e1", Value: []byte(`{"schemaVersion":2}`)}}}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, _, err = f.ledger.Reserve(ctx, f.guard, here, loadOf(menus, 1, 40))
		gomega.Expect(err).To(gomega.MatchError(ErrSchemaTooNew))
	})
})

// BenchmarkOrder gives the store traffic of one order, reserved and resolved, against the artifacts on an endpoint.
func BenchmarkOrder(b *testing.B) {
	gomega.RegisterTestingT(b)
	ctx := context.Background()
	for _, artifacts := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("artifacts=%d", artifacts), func(b *testing.B) {
			var held []engine.LoadedArtifact
			for i := range artifacts {
				held = append(held, loadedOn(engine.Artifact{Kind: engine.KindAdapter, Name: fmt.Sprintf("adapter-%d", i), Version: "1"}, 1, 0))
			}
			f := newFixture(held...)
			reads, writes := f.store.Faults.Count(kv.CallGet), f.store.Faults.Count(kv.CallCommit)
			orders := 0
			for b.Loop() {
				orders++
				request := edited(loadOf(menus, 1, 10), func(r *Request) { r.OrderID = fmt.Sprint(orders) })
				_, _, err := f.ledger.Reserve(ctx, f.guard, here, request)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = f.ledger.Resolve(ctx, f.guard, here, request.OrderID, NotRun)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
			kv, _, _, err := f.store.Get(ctx, "t/ledger/kathmandu-a/e1")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			b.ReportMetric(float64(len(kv.Value)), "record-bytes")
			b.ReportMetric(float64(f.store.Faults.Count("get")-reads)/float64(orders), "reads/order")
			b.ReportMetric(float64(f.store.Faults.Count("commit")-writes)/float64(orders), "writes/order")
		})
	}
}
