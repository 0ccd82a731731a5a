package openaihttp_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/engine/openaihttp"
	"github.com/mulberryglade/mulberryglade/pkg/prompt"
)

func TestOpenAIHTTP(t *testing.T) {
	testkit.RunSpecs(t, "openaihttp")
}

const outputTokens = 4

type fixture struct {
	engine *standin.Engine
	client *openaihttp.Client
	target engine.Target
	scope  tally.TestScope
}

func newFixture(options standin.Options) *fixture {
	options.ServeAll = true
	options.OutputTokens = outputTokens
	f := &fixture{engine: standin.New(options), scope: tally.NewTestScope("", nil)}
	url, err := f.engine.Start()
	Expect(err).NotTo(HaveOccurred())
	f.target = engine.Target{Name: "e1", URL: url}
	f.client = openaihttp.New(openaihttp.Options{Scope: f.scope})
	DeferCleanup(f.engine.Close)
	DeferCleanup(f.client.Close)
	return f
}

func newCall(stream bool) engine.Call {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"hello"}],"stream":%v}`, stream)
	return engine.Call{RequestID: "r1", Path: "/v1/chat/completions", Body: []byte(body), Deadline: time.Now().Add(time.Minute)}
}

// readAll reads a stream to its end and returns the offsets and the final error.
func readAll(s engine.Stream) ([]int, error) {
	defer s.Close()
	var offsets []int
	for {
		chunk, err := s.Next()
		if err != nil {
			return offsets, err
		}
		offsets = append(offsets, chunk.Offset)
	}
}

func background() context.Context { return context.Background() }

func statusErrorWithNotRun(want bool) func(error) bool {
	return func(err error) bool {
		status, ok := err.(*engine.StatusError)
		return ok && status.NotRun == want
	}
}

var _ = Describe("Inference", func() {
	// Guards against an error that makes the dispatcher report not_run for a request that ran, and against accepting a
	// response that is incomplete or belongs to another request.
	DescribeTable("Complete",
		func(fault standin.Fault, want any, wantExecutions int) {
			f := newFixture(standin.Options{})
			f.engine.Faults().Queue(standin.CallInference, fault)
			response, err := f.client.Complete(background(), f.target, newCall(false))
			switch want := want.(type) {
			case nil:
				Expect(err).NotTo(HaveOccurred())
				Expect(response.OutputTokens).To(Equal(outputTokens))
			case error:
				Expect(err).To(MatchError(want))
			case func(error) bool:
				Expect(want(err)).To(BeTrue(), "%v", err)
			}
			Expect(f.engine.Executions("r1")).To(Equal(wantExecutions))
			Expect(f.engine.Faults().Count(standin.CallInference)).To(Equal(1), "no hidden retry")
		},
		Entry("no fault", standin.Fault{}, nil, 1),
		Entry("rejected by the engine", standin.Fault{Refuse: true}, statusErrorWithNotRun(true), 0),
		Entry("error status without X-Not-Run", standin.Fault{Status: 503}, statusErrorWithNotRun(false), 0),
		Entry("rejection of another request", standin.Fault{Refuse: true, WrongRequestID: true}, engine.ErrRequestIDMismatch, 0),
		Entry("closed after the request was read", standin.Fault{DropRequest: true}, engine.ErrConnectionLost, 0),
		Entry("reply lost", standin.Fault{DropReply: true}, engine.ErrConnectionLost, 1),
		Entry("another request's response", standin.Fault{WrongRequestID: true}, engine.ErrRequestIDMismatch, 1),
		Entry("body truncated", standin.Fault{TruncateBody: true}, engine.ErrTruncated, 1),
		Entry("no finish reason", standin.Fault{NoFinishReason: true}, engine.ErrTruncated, 1),
	)

	// Guards against reporting that a request may have run when the engine was not reachable.
	It("reports a refused connection as not sent", func() {
		f := newFixture(standin.Options{})
		f.engine.Down()
		_, err := f.client.Complete(background(), f.target, newCall(false))
		Expect(err).To(MatchError(engine.ErrNotSent))
		_, err = f.client.Open(background(), f.target, newCall(true), 0)
		Expect(err).To(MatchError(engine.ErrNotSent))
	})

	// Guards against delivering a truncated stream, or one with missing or repeated chunks, as complete.
	DescribeTable("Open",
		func(fault standin.Fault, want error, wantOffsets ...int) {
			f := newFixture(standin.Options{})
			f.engine.Faults().Queue(standin.CallInference, fault)
			stream, err := f.client.Open(background(), f.target, newCall(true), 0)
			var offsets []int
			if err == nil {
				offsets, err = readAll(stream)
			}
			Expect(err).To(MatchError(want))
			Expect(offsets).To(HaveExactElements(wantOffsets))
			Expect(f.engine.Faults().Count(standin.CallInference)).To(Equal(1), "no hidden retry")
		},
		Entry("no fault", standin.Fault{}, io.EOF, 0, 1, 2, 3, 4),
		Entry("connection broken", standin.Fault{CloseAfterChunks: 2}, engine.ErrConnectionLost, 0, 1),
		Entry("ended early", standin.Fault{EndAfterChunks: 3}, engine.ErrTruncated, 0, 1, 2),
		Entry("chunk missing", standin.Fault{SkipChunk: 2}, engine.ErrTruncated, 0, 1),
		Entry("chunk repeated", standin.Fault{RepeatChunk: 2}, io.EOF, 0, 1, 2, 3, 4),
		Entry("no finish reason", standin.Fault{NoFinishReason: true}, engine.ErrTruncated, 0, 1, 2, 3, 4),
		Entry("another request's stream", standin.Fault{WrongRequestID: true}, engine.ErrRequestIDMismatch),
		// The engine closes the connection after it has read the request.
		Entry("lost", standin.Fault{DropRequest: true}, engine.ErrConnectionLost),
	)

	// Guards against a new connection for each stream, which adds a round trip between regions to the time to first token.
	It("reuses the connection of a complete stream", func() {
		f := newFixture(standin.Options{})
		for range 3 {
			stream, err := f.client.Open(background(), f.target, newCall(true), 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = readAll(stream)
			Expect(err).To(MatchError(io.EOF))
		}
		Expect(f.engine.Connections()).To(Equal(1))
	})

	// Guards against repeated chunks that no metric shows.
	It("counts repeated chunks", func() {
		f := newFixture(standin.Options{})
		f.engine.Faults().Queue(standin.CallInference, standin.Fault{RepeatChunk: 1})
		stream, err := f.client.Open(background(), f.target, newCall(true), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = readAll(stream)
		Expect(err).To(MatchError(io.EOF))
		Expect(f.scope.Snapshot().Counters()["engine.repeated_chunks+"].Value()).To(BeEquivalentTo(1))
	})

	// Guards against a late response to a cancelled call being returned for the next call.
	It("drops a response that arrives after its call was cancelled", func() {
		f := newFixture(standin.Options{})
		ctx, cancel := context.WithCancel(background())
		returned := make(chan struct{})
		f.engine.Faults().Queue(standin.CallInference, standin.Fault{Hook: func() { cancel(); <-returned }})
		_, err := f.client.Complete(ctx, f.target, newCall(false))
		close(returned)
		Expect(err).To(MatchError(context.Canceled))
		next := newCall(false)
		next.RequestID = "r2"
		response, err := f.client.Complete(background(), f.target, next)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(ContainSubstring(`"id":"r2"`))
	})

	// Guards against a resumed stream that runs the request again, or that repeats or loses chunks.
	It("resumes a broken stream at its offset", func() {
		f := newFixture(standin.Options{})
		f.engine.Faults().Queue(standin.CallInference, standin.Fault{CloseAfterChunks: 2})
		stream, err := f.client.Open(background(), f.target, newCall(true), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = readAll(stream)
		Expect(err).To(MatchError(engine.ErrConnectionLost))
		stream, err = f.client.Open(background(), f.target, newCall(true), 2)
		Expect(err).NotTo(HaveOccurred())
		offsets, err := readAll(stream)
		Expect(err).To(MatchError(io.EOF))
		Expect(offsets).To(HaveExactElements(2, 3, 4))
		Expect(f.engine.Executions("r1")).To(Equal(1))
	})

	// Guards against running a request again when the engine no longer has its stream.
	It("reports an engine that cannot resume", func() {
		f := newFixture(standin.Options{NoResume: true})
		_, err := f.client.Open(background(), f.target, newCall(true), 2)
		Expect(err).To(MatchError(engine.ErrResumeUnsupported))
		Expect(f.engine.Executions("r1")).To(BeZero())
	})

	// Guards against a cancelled request that still occupies the batch of the engine.
	DescribeTable("ends the request at the engine after",
		func(cancelCall func(f *fixture)) {
			timing := standin.DefaultTiming()
			timing.TokenInterval = time.Hour
			f := newFixture(standin.Options{Timing: timing, TimeScale: 1})
			cancelCall(f)
			Eventually(f.engine.Running).Should(BeZero())
		},
		Entry("the stream is closed", func(f *fixture) {
			stream, err := f.client.Open(background(), f.target, newCall(true), 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = stream.Next()
			Expect(err).NotTo(HaveOccurred())
			Expect(f.engine.Running()).To(Equal(1))
			stream.Close()
		}),
		Entry("the context of the stream ends", func(f *fixture) {
			ctx, cancel := context.WithCancel(background())
			stream, err := f.client.Open(ctx, f.target, newCall(true), 0)
			Expect(err).NotTo(HaveOccurred())
			defer stream.Close()
			_, err = stream.Next()
			Expect(err).NotTo(HaveOccurred())
			cancel()
			_, err = stream.Next()
			Expect(err).To(MatchError(context.Canceled))
		}),
		Entry("the context of a call without streaming ends", func(f *fixture) {
			ctx, cancel := context.WithCancel(background())
			go func() {
				defer GinkgoRecover()
				Eventually(f.engine.Running).Should(Equal(1))
				cancel()
			}()
			_, err := f.client.Complete(ctx, f.target, newCall(false))
			Expect(err).To(MatchError(context.Canceled))
		}),
	)
})

var _ = Describe("Reporter", func() {
	// Guards against reports or cache events that lose fields, and against a lost connection being read as an empty
	// report.
	It("reads reports and cache events", func() {
		f := newFixture(standin.Options{})
		text := string(make([]byte, 3*prompt.BlockBytes))
		request := newCall(false)
		request.Body = []byte(fmt.Sprintf(`{"model":"m","prompt":%q}`, text))
		request.Path = "/v1/completions"
		_, err := f.client.Complete(background(), f.target, request)
		Expect(err).To(HaveOccurred(), "a body that is not JSON must be rejected")
		request.Body = []byte(`{"model":"m","prompt":"` + fmt.Sprintf("%0*d", 3*prompt.BlockBytes, 0) + `"}`)
		_, err = f.client.Complete(background(), f.target, request)
		Expect(err).NotTo(HaveOccurred())

		report, err := f.client.Report(background(), f.target)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).To(Equal(f.engine.Report()))
		events, err := f.client.CacheEvents(background(), f.target, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(2))
		Expect(events[0].Sequence).To(BeEquivalentTo(2))

		f.engine.Faults().Queue(standin.CallReport, standin.Fault{DropRequest: true})
		_, err = f.client.Report(background(), f.target)
		Expect(err).To(MatchError(engine.ErrConnectionLost))
	})

	// Guards against cache blocks that one engine exports and another cannot import.
	It("exports and imports cache blocks", func() {
		exporter, importer := newFixture(standin.Options{}), newFixture(standin.Options{})
		request := newCall(false)
		request.Path = "/v1/completions"
		request.Body = []byte(`{"model":"m","prompt":"` + fmt.Sprintf("%0*d", 2*prompt.BlockBytes, 0) + `"}`)
		_, err := exporter.client.Complete(background(), exporter.target, request)
		Expect(err).NotTo(HaveOccurred())
		events, err := exporter.client.CacheEvents(background(), exporter.target, 0)
		Expect(err).NotTo(HaveOccurred())
		hashes := []uint64{events[0].PrefixHash, events[1].PrefixHash, 7}
		blocks, err := exporter.client.ExportCache(background(), exporter.target, "m", hashes)
		Expect(err).NotTo(HaveOccurred())
		Expect(importer.client.ImportCache(background(), importer.target, "m", blocks)).To(Succeed())
		Expect(importer.client.CacheEvents(background(), importer.target, 0)).To(Equal(events))
	})
})

var _ = Describe("OrderSession", func() {
	load := engine.Order{
		ID: "o1", FencingToken: 5, Verb: engine.VerbLoad,
		Artifact:     engine.Artifact{Kind: engine.KindModel, Name: "m", Version: "1"},
		Accelerators: []int{0}, BytesPerAccelerator: 1 << 30,
	}

	// Guards against treating an order with an unknown outcome as rejected, which would free its memory reservation, and
	// against sending an order twice.
	DescribeTable("Send",
		func(fault standin.Fault, want error, wantLoaded bool) {
			f := newFixture(standin.Options{})
			session, err := f.client.DialOrders(background(), f.target)
			Expect(err).NotTo(HaveOccurred())
			defer session.Close()
			f.engine.Faults().Queue(standin.CallOrder, fault)
			err = session.Send(background(), load)
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(want))
			}
			Expect(f.engine.Memory().Loaded(load.Artifact)).To(Equal(wantLoaded))
			Expect(f.engine.Faults().Count(standin.CallOrder)).To(Equal(1))
		},
		Entry("carried out", standin.Fault{}, nil, true),
		Entry("rejected", standin.Fault{Refuse: true}, engine.ErrOrderRejected, false),
		// The engine closes the connection after it has read the order.
		Entry("lost", standin.Fault{DropRequest: true}, engine.ErrSessionClosed, false),
		Entry("reply lost", standin.Fault{DropReply: true}, engine.ErrSessionClosed, true),
		Entry("reply to another order", standin.Fault{WrongRequestID: true}, engine.ErrSessionClosed, true),
		Entry("server error", standin.Fault{Status: 500}, engine.ErrSessionClosed, false),
	)

	// Guards against executing an order of a previous lease holder, whose fencing token is lower.
	It("reports a stale fencing token and keeps the session", func() {
		f := newFixture(standin.Options{})
		session, err := f.client.DialOrders(background(), f.target)
		Expect(err).NotTo(HaveOccurred())
		defer session.Close()
		Expect(session.Send(background(), engine.Order{ID: "f", FencingToken: 9, Verb: engine.VerbFence})).To(Succeed())
		Expect(session.Send(background(), load)).To(MatchError(engine.ErrStaleFencingToken))
		report, err := session.Report(background())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.HighestFencingToken).To(BeEquivalentTo(9))
		Expect(report.LastOrderIDs).To(HaveExactElements("f"))
	})

	// Guards against an order reaching a later incarnation than the one for which it was decided.
	It("never reaches a restarted engine", func() {
		f := newFixture(standin.Options{})
		session, err := f.client.DialOrders(background(), f.target)
		Expect(err).NotTo(HaveOccurred())
		before := session.Incarnation()
		f.engine.Down()
		Expect(f.engine.Up()).To(Succeed())
		next, err := f.client.DialOrders(background(), f.target)
		Expect(err).NotTo(HaveOccurred())
		defer next.Close()
		Expect(next.Incarnation()).NotTo(Equal(before))
		Expect(session.Send(background(), load)).To(Or(MatchError(engine.ErrSessionClosed), MatchError(engine.ErrNotSent)))
		Expect(session.Send(background(), load)).To(MatchError(engine.ErrNotSent), "a closed session is not redialled")
		Expect(f.engine.Faults().Count(standin.CallOrder)).To(BeZero())
	})
})
