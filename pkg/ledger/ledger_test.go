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

// fakeGuard is a lease whose local state can differ from the store.
type fakeGuard struct {
	revision kvstore.Revision
	held     bool
}

func (l *fakeGuard) Condition() (kvstore.Condition, bool) {
	return kvstore.Condition{Key: "holder", Field: kvstore.CreateRevision, Equals: l.revision}, l.held
}

var (
	endpoint1 = Endpoint{DataCentre: "kathmandu-a", Name: "e1"}
	endpoint2 = Endpoint{DataCentre: "kathmandu-a", Name: "e2"}
	menus     = engine.Artifact{Kind: engine.KindModel, Name: "menus", Version: "1"}
	menus2    = engine.Artifact{Kind: engine.KindModel, Name: "menus", Version: "2"}
	ilam      = engine.Artifact{Kind: engine.KindAdapter, Name: "menus-ilam", Version: "1"}
)

// fixture is a ledger of two endpoints. Each has a session with fence order "f1" and incarnation "i1".
type fixture struct {
	store  *kv.Memory
	guard  *fakeGuard
	ledger *Ledger
}

func newFixture(loaded ...engine.LoadedArtifact) *fixture {
	f := &fixture{store: kv.NewMemory(), guard: &fakeGuard{held: true}}
	f.ledger = New(f.store, "t/")
	results, err := f.store.Commit(context.Background(), []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: "holder"}}}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	f.guard.revision = results[0].Revision
	for _, endpoint := range []Endpoint{endpoint1, endpoint2} {
		record, err := f.ledger.Fence(context.Background(), f.guard, endpoint, "f1", []int64{100, 50})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.ledger.Reconcile(context.Background(), f.guard, record, newObservation(record, loaded...))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
	return f
}

func newObservation(record Record, loaded ...engine.LoadedArtifact) Observation {
	return Observation{
		Incarnation: "i1",
		Report:      engine.Report{Incarnation: "i1", Artifacts: loaded, LastOrderIDs: []string{record.Fence.OrderID}},
		Fence:       *record.Fence,
		LastOrderID: record.Fence.OrderID,
	}
}

func loadedOn(artifact engine.Artifact, bytes int64, accelerators ...int) engine.LoadedArtifact {
	return engine.LoadedArtifact{Artifact: artifact, State: engine.StateLoaded, Accelerators: accelerators, BytesPerAccelerator: bytes}
}

func loadRequest(artifact engine.Artifact, accelerators int, bytes int64) Request {
	return Request{
		OrderID: "o1", Verb: engine.VerbLoad, Artifact: artifact, AcceleratorCount: accelerators, Bytes: bytes,
		CapacityBytes: []int64{100, 50}, Incarnation: "i1", SessionFenceID: "f1",
	}
}

func unloadRequest(artifact engine.Artifact, witness *Endpoint) Request {
	request := loadRequest(artifact, 0, 0)
	request.Verb = engine.VerbUnload
	request.Witness = witness
	return request
}

func modified(request Request, edit func(*Request)) Request {
	edit(&request)
	return request
}

// Guards against writing a reservation that must be rejected.
var _ = ginkgo.DescribeTable("refuses a reservation",
	func(loaded []engine.LoadedArtifact, pending *Request, request Request, want error) {
		f := newFixture(loaded...)
		if pending != nil {
			_, _, err := f.ledger.Reserve(context.Background(), f.guard, endpoint1, *pending)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		before, err := f.ledger.Read(context.Background(), endpoint1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, _, err = f.ledger.Reserve(context.Background(), f.guard, endpoint1, request)
		gomega.Expect(err).To(gomega.MatchError(want))
		gomega.Expect(f.ledger.Read(context.Background(), endpoint1)).To(gomega.Equal(before))
	},
	ginkgo.Entry("of another session", nil, nil, modified(loadRequest(menus, 1, 10), func(r *Request) { r.SessionFenceID = "f0" }), ErrSessionMismatch),
	ginkgo.Entry("of another incarnation", nil, nil, modified(loadRequest(menus, 1, 10), func(r *Request) { r.Incarnation = "i0" }), ErrSessionMismatch),
	ginkgo.Entry("of a loaded artifact", []engine.LoadedArtifact{loadedOn(menus, 10, 0)}, nil, loadRequest(menus, 1, 10), ErrAlreadyLoaded),
	ginkgo.Entry("for an unload while a load is pending", nil, new(loadRequest(menus, 1, 10)),
		modified(unloadRequest(menus, nil), func(r *Request) { r.OrderID, r.Withdrawn = "o2", true }), ErrOrderPending),
	ginkgo.Entry("for the unload of an artifact that is not loaded", nil, nil, unloadRequest(menus, nil), ErrNotLoaded),
	ginkgo.Entry("for the unload of the last copy", []engine.LoadedArtifact{loadedOn(menus, 10, 0)}, nil, unloadRequest(menus, nil), ErrLastCopy),
	ginkgo.Entry("of an adapter without its model", nil, nil, modified(loadRequest(ilam, 0, 5), func(r *Request) { r.Base = "menus" }), ErrBaseNotLoaded),
	ginkgo.Entry("beyond the free memory, with the calculation in the error", []engine.LoadedArtifact{loadedOn(menus, 45, 0)}, nil, loadRequest(menus2, 1, 60), &DoesNotFitError{
		Artifact: menus2, AcceleratorsNeeded: 1, BytesPerAccelerator: 60, CapacityBytes: []int64{100, 50}, UsedBytes: []int64{45, 0}, Candidates: []int{0, 1},
	}),
)

// Each entry guards against memory that is released while its load can still arrive, or that stays reserved although
// the load cannot arrive.
var _ = ginkgo.DescribeTable("a load without a reply and absent from the report",
	func(checksFencing bool, edit func(*Observation), kept bool) {
		f := newFixture()
		ctx := context.Background()
		_, _, err := f.ledger.Reserve(ctx, f.guard, endpoint1, loadRequest(menus, 1, 40))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		fenced, err := f.ledger.Fence(ctx, f.guard, endpoint1, "f2", []int64{100, 50})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		observation := newObservation(fenced)
		observation.ChecksFencing = checksFencing
		observation.LastFencingToken = observation.Fence.FencingToken
		edit(&observation)
		record, err := f.ledger.Reconcile(ctx, f.guard, fenced, observation)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(record.Find(menus) != nil).To(gomega.Equal(kept))
		gomega.Expect(record.UsedBytes()[1] == 40).To(gomega.Equal(kept))
	},
	ginkgo.Entry("stays on an engine that ignores fencing tokens", false, func(*Observation) {}, true),
	ginkgo.Entry("stays on an engine that is wrongly declared to check fencing tokens", true, func(*Observation) {}, true),
	ginkgo.Entry("is released when the engine has received the newer fencing token and checks tokens", true, func(o *Observation) { o.Report.HighestFencingToken = o.Fence.FencingToken }, false),
	ginkgo.Entry("is released when the order was executed", false, func(o *Observation) { o.Report.LastOrderIDs = []string{"o1", "f2"} }, false),
	ginkgo.Entry("is released by a new incarnation", false, func(o *Observation) { o.Incarnation, o.Report.Incarnation = "i2", "i2" }, false),
)

var _ = ginkgo.Describe("a reservation", func() {
	ctx := context.Background()

	// Guards against fencing tokens that do not increase, and against an order that is reserved twice after a lost
	// reply.
	ginkgo.It("keeps its fencing token after a lost reply", func() {
		f := newFixture()
		f.store.Faults.Queue(kv.CallCommit, kv.Fault{DropReply: true})
		first, _, err := f.ledger.Reserve(ctx, f.guard, endpoint1, loadRequest(menus, 1, 40))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		second, record, err := f.ledger.Reserve(ctx, f.guard, endpoint1, modified(loadRequest(menus2, 1, 40), func(r *Request) { r.OrderID = "o2" }))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(second.FencingToken).To(gomega.BeNumerically(">", first.FencingToken))
		gomega.Expect(record.Find(menus).FencingToken).To(gomega.Equal(first.FencingToken))
		gomega.Expect(record.UsedBytes()).To(gomega.Equal([]int64{40, 40}), "the accelerator with the least free memory that suffices is used first")
	})

	// Guards against writes of a lease holder that has not noticed the expiry of its lease.
	ginkgo.It("is not written without the lease", func() {
		f := newFixture()
		_, err := f.store.Commit(ctx, []kvstore.ConditionalWrite{{Deletes: []string{"holder"}}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, _, err = f.ledger.Reserve(ctx, f.guard, endpoint1, loadRequest(menus, 1, 40))
		gomega.Expect(err).To(gomega.MatchError(ErrLeaseNotHeld))
	})

	// Guards against an old report that releases an artifact loaded after it, and against a report on a session that
	// was replaced by another.
	ginkgo.It("is released by a fresh report of the latest session only", func() {
		f := newFixture(loadedOn(menus, 40, 0))
		record, err := f.ledger.Read(ctx, endpoint1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		oldObservation := newObservation(record)
		oldObservation.Report.LastOrderIDs = nil
		_, err = f.ledger.Reconcile(ctx, f.guard, record, oldObservation)
		gomega.Expect(err).To(gomega.MatchError(ErrReportTooOld))
		_, err = f.ledger.Fence(ctx, f.guard, endpoint1, "f2", []int64{100, 50})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.ledger.Reconcile(ctx, f.guard, record, newObservation(record))
		gomega.Expect(err).To(gomega.MatchError(ErrSessionMismatch))
	})

	// Guards against the use of an older report that arrives after the report that showed a late order.
	ginkgo.It("for a late order is not released by an older report", func() {
		f := newFixture()
		_, _, err := f.ledger.Reserve(ctx, f.guard, endpoint1, loadRequest(menus, 1, 40))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		fenced, err := f.ledger.Fence(ctx, f.guard, endpoint1, "f2", []int64{100, 50})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		laterObservation := newObservation(fenced, loadedOn(menus, 40, 1))
		laterObservation.LastFencingToken = fenced.Fence.FencingToken
		earlierObservation := laterObservation
		earlierObservation.Report.Artifacts = nil
		laterObservation.Report.LastOrderIDs = []string{"f2", "o1"}
		record, err := f.ledger.Reconcile(ctx, f.guard, fenced, laterObservation)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.ledger.Reconcile(ctx, f.guard, record, earlierObservation)
		gomega.Expect(err).To(gomega.MatchError(ErrFenceNeeded))
	})

	// Guards against a store call for every report.
	ginkgo.It("that a report confirms causes no store call", func() {
		f := newFixture(loadedOn(menus, 40, 0))
		record, err := f.ledger.Read(ctx, endpoint1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.store.Faults.SetDown(true)
		gomega.Expect(f.ledger.Reconcile(ctx, f.guard, record, newObservation(record, loadedOn(menus, 40, 0)))).To(gomega.Equal(record))
		f.store.Faults.SetDown(false)
		_, _, err = f.ledger.Reserve(ctx, f.guard, endpoint1, modified(unloadRequest(menus, nil), func(r *Request) { r.Withdrawn = true }))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		empty, err := f.ledger.Resolve(ctx, f.guard, endpoint1, "o1", Executed)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.store.Faults.SetDown(true)
		gomega.Expect(f.ledger.Reconcile(ctx, f.guard, empty, newObservation(empty))).To(gomega.Equal(empty))
	})

	// Guards against an undetected overcommitment after the declared memory was reduced.
	ginkgo.It("that exceeds reduced memory is reported", func() {
		f := newFixture(loadedOn(menus, 40, 0))
		record, err := f.ledger.Fence(ctx, f.guard, endpoint1, "f2", []int64{30, 50})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(record.Overcommitted()).To(gomega.Equal([]int{0}))
	})

	// Guards against an older build that overwrites a newer build's record.
	ginkgo.It("of a newer schema version is not changed", func() {
		f := newFixture()
		_, err := f.store.Commit(ctx, []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: "t/ledger/kathmandu-a/e1", Value: []byte(`{"schemaVersion":2}`)}}}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, _, err = f.ledger.Reserve(ctx, f.guard, endpoint1, loadRequest(menus, 1, 40))
		gomega.Expect(err).To(gomega.MatchError(ErrSchemaTooNew))
	})
})

// BenchmarkOrder measures the store traffic of reserving and resolving one order, by the number of artifacts on the
// endpoint.
func BenchmarkOrder(b *testing.B) {
	gomega.RegisterTestingT(b)
	ctx := context.Background()
	for _, artifacts := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("artifacts=%d", artifacts), func(b *testing.B) {
			var loaded []engine.LoadedArtifact
			for i := range artifacts {
				loaded = append(loaded, loadedOn(engine.Artifact{Kind: engine.KindAdapter, Name: fmt.Sprintf("adapter-%d", i), Version: "1"}, 1, 0))
			}
			f := newFixture(loaded...)
			reads, writes := f.store.Faults.Count(kv.CallGet), f.store.Faults.Count(kv.CallCommit)
			orders := 0
			for b.Loop() {
				orders++
				request := modified(loadRequest(menus, 1, 10), func(r *Request) { r.OrderID = fmt.Sprint(orders) })
				_, _, err := f.ledger.Reserve(ctx, f.guard, endpoint1, request)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = f.ledger.Resolve(ctx, f.guard, endpoint1, request.OrderID, NotRun)
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
