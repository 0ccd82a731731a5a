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

func call(stream bool) engine.Call {
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

func notRun(want bool) func(error) bool {
	return func(err error) bool {
		status, ok := err.(*engine.StatusError)
		return ok && status.NotRun == want
	}
}

var _ = Describe("Inference", func() {
	// Guards against an error that makes the dispatcher claim not_run for a request that ran, or pass on a response that
	// is incomplete or another request's.
	DescribeTable("Complete",
		func(fault standin.Fault, want any, executions int) {
			f := newFixture(standin.Options{})
			f.engine.Faults().Next(standin.CallInference, fault)
			response, err := f.client.Complete(background(), f.target, call(false))
			switch want := want.(type) {
			case nil:
				Expect(err).NotTo(HaveOccurred())
				Expect(response.OutputTokens).To(Equal(outputTokens))
			case error:
				Expect(err).To(MatchError(want))
			case func(error) bool:
				Expect(want(err)).To(BeTrue(), "%v", err)
			}
			Expect(f.engine.Executions("r1")).To(Equal(executions))
			Expect(f.engine.Faults().Count(standin.CallInference)).To(Equal(1), "no hidden retry")
		},
		Entry("no fault", standin.Fault{}, nil, 1),
		Entry("refused by the engine", standin.Fault{Refuse: true}, notRun(true), 0),
		Entry("status without a statement", standin.Fault{Status: 503}, notRun(false), 0),
		Entry("refusal for another request", standin.Fault{Refuse: true, WrongRequestID: true}, engine.ErrRequestIDMismatch, 0),
		Entry("closed after the request was read", standin.Fault{Lose: true}, engine.ErrConnectionLost, 0),
		Entry("reply lost", standin.Fault{DropReply: true}, engine.ErrConnectionLost, 1),
		Entry("another request's response", standin.Fault{WrongRequestID: true}, engine.ErrRequestIDMismatch, 1),
		Entry("body cut", standin.Fault{TruncateBody: true}, engine.ErrTruncated, 1),
		Entry("no finish reason", standin.Fault{NoFinishReason: true}, engine.ErrTruncated, 1),
	)

	// Guards against reporting an engine that is down as a possible execution.
	It("reports a refused connection as not sent", func() {
		f := newFixture(standin.Options{})
		f.engine.Down()
		_, err := f.client.Complete(background(), f.target, call(false))
		Expect(err).To(MatchError(engine.ErrNotSent))
		_, err = f.client.Open(background(), f.target, call(true), 0)
		Expect(err).To(MatchError(engine.ErrNotSent))
	})

	// Guards against a truncated, gappy or repeating stream reaching the caller as complete.
	DescribeTable("Open",
		func(fault standin.Fault, want error, offsets ...int) {
			f := newFixture(standin.Options{})
			f.engine.Faults().Next(standin.CallInference, fault)
			stream, err := f.client.Open(background(), f.target, call(true), 0)
			var got []int
			if err == nil {
				got, err = readAll(stream)
			}
			Expect(err).To(MatchError(want))
			Expect(got).To(HaveExactElements(offsets))
			Expect(f.engine.Faults().Count(standin.CallInference)).To(Equal(1), "no hidden retry")
		},
		Entry("no fault", standin.Fault{}, io.EOF, 0, 1, 2, 3, 4),
		Entry("connection broken", standin.Fault{CloseAfterChunks: 2}, engine.ErrConnectionLost, 0, 1),
		Entry("ended early", standin.Fault{EndAfterChunks: 3}, engine.ErrTruncated, 0, 1, 2),
		Entry("chunk left out", standin.Fault{SkipChunk: 2}, engine.ErrTruncated, 0, 1),
		Entry("chunk repeated", standin.Fault{RepeatChunk: 2}, io.EOF, 0, 1, 2, 3, 4),
		Entry("no finish reason", standin.Fault{NoFinishReason: true}, engine.ErrTruncated, 0, 1, 2, 3, 4),
		Entry("another request's stream", standin.Fault{WrongRequestID: true}, engine.ErrRequestIDMismatch),
		Entry("lost", standin.Fault{Lose: true}, engine.ErrConnectionLost),
	)

	// Guards against a new connection per stream, which would add a round trip between regions to each first token.
	It("reuses the connection of a complete stream", func() {
		f := newFixture(standin.Options{})
		for range 3 {
			stream, err := f.client.Open(background(), f.target, call(true), 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = readAll(stream)
			Expect(err).To(MatchError(io.EOF))
		}
		Expect(f.engine.Connections()).To(Equal(1))
	})

	// Guards against repeats that go unnoticed by operators.
	It("counts repeated chunks", func() {
		f := newFixture(standin.Options{})
		f.engine.Faults().Next(standin.CallInference, standin.Fault{RepeatChunk: 1})
		stream, err := f.client.Open(background(), f.target, call(true), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = readAll(stream)
		Expect(err).To(MatchError(io.EOF))
		Expect(f.scope.Snapshot().Counters()["engine.repeated_chunks+"].Value()).To(BeEquivalentTo(1))
	})

	// Guards against a late response to an abandoned call being taken as the response to the next call.
	It("drops a response that comes after its call was given up", func() {
		f := newFixture(standin.Options{})
		ctx, cancel := context.WithCancel(background())
		returned := make(chan struct{})
		f.engine.Faults().Next(standin.CallInference, standin.Fault{Hook: func() { cancel(); <-returned }})
		_, err := f.client.Complete(ctx, f.target, call(false))
		close(returned)
		Expect(err).To(MatchError(context.Canceled))
		next := call(false)
		next.RequestID = "r2"
		response, err := f.client.Complete(background(), f.target, next)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(ContainSubstring(`"id":"r2"`))
	})

	// Guards against a resumed stream that runs the request again, repeats or loses chunks.
	It("resumes a broken stream at its offset", func() {
		f := newFixture(standin.Options{})
		f.engine.Faults().Next(standin.CallInference, standin.Fault{CloseAfterChunks: 2})
		stream, err := f.client.Open(background(), f.target, call(true), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = readAll(stream)
		Expect(err).To(MatchError(engine.ErrConnectionLost))
		stream, err = f.client.Open(background(), f.target, call(true), 2)
		Expect(err).NotTo(HaveOccurred())
		offsets, err := readAll(stream)
		Expect(err).To(MatchError(io.EOF))
		Expect(offsets).To(HaveExactElements(2, 3, 4))
		Expect(f.engine.Executions("r1")).To(Equal(1))
	})

	// Guards against starting a request again when the engine no longer has its stream.
	It("reports an engine that cannot resume", func() {
		f := newFixture(standin.Options{NoResume: true})
		_, err := f.client.Open(background(), f.target, call(true), 2)
		Expect(err).To(MatchError(engine.ErrResumeUnsupported))
		Expect(f.engine.Executions("r1")).To(BeZero())
	})

	// Guards against an abandoned request that keeps its place in the batch.
	DescribeTable("cancels at the engine",
		func(abandon func(f *fixture)) {
			timing := standin.DefaultTiming()
			timing.TokenInterval = time.Hour
			f := newFixture(standin.Options{Timing: timing, TimeScale: 1})
			abandon(f)
			Eventually(f.engine.Running).Should(BeZero())
		},
		Entry("a closed stream", func(f *fixture) {
			stream, err := f.client.Open(background(), f.target, call(true), 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = stream.Next()
			Expect(err).NotTo(HaveOccurred())
			Expect(f.engine.Running()).To(Equal(1))
			stream.Close()
		}),
		Entry("a stream whose context ended", func(f *fixture) {
			ctx, cancel := context.WithCancel(background())
			stream, err := f.client.Open(ctx, f.target, call(true), 0)
			Expect(err).NotTo(HaveOccurred())
			defer stream.Close()
			_, err = stream.Next()
			Expect(err).NotTo(HaveOccurred())
			cancel()
			_, err = stream.Next()
			Expect(err).To(MatchError(context.Canceled))
		}),
		Entry("a cancelled call", func(f *fixture) {
			ctx, cancel := context.WithCancel(background())
			go func() {
				defer GinkgoRecover()
				Eventually(f.engine.Running).Should(Equal(1))
				cancel()
			}()
			_, err := f.client.Complete(ctx, f.target, call(false))
			Expect(err).To(MatchError(context.Canceled))
		}),
	)
})

var _ = Describe("Reporter", func() {
	// Guards against a report or cache events that lose fields on the way, and against a lost one read as empty.
	It("reads reports and cache events", func() {
		f := newFixture(standin.Options{})
		text := string(make([]byte, 3*prompt.BlockBytes))
		request := call(false)
		request.Body = []byte(fmt.Sprintf(`{"model":"m","prompt":%q}`, text))
		request.Path = "/v1/completions"
		_, err := f.client.Complete(background(), f.target, request)
		Expect(err).To(HaveOccurred(), "the body is not JSON")
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

		f.engine.Faults().Next(standin.CallReport, standin.Fault{Lose: true})
		_, err = f.client.Report(background(), f.target)
		Expect(err).To(MatchError(engine.ErrConnectionLost))
	})

	// Guards against cache blocks that cannot be moved between engines.
	It("exports and imports cache blocks", func() {
		from, to := newFixture(standin.Options{}), newFixture(standin.Options{})
		request := call(false)
		request.Path = "/v1/completions"
		request.Body = []byte(`{"model":"m","prompt":"` + fmt.Sprintf("%0*d", 2*prompt.BlockBytes, 0) + `"}`)
		_, err := from.client.Complete(background(), from.target, request)
		Expect(err).NotTo(HaveOccurred())
		events, err := from.client.CacheEvents(background(), from.target, 0)
		Expect(err).NotTo(HaveOccurred())
		hashes := []uint64{events[0].PrefixHash, events[1].PrefixHash, 7}
		blocks, err := from.client.ExportCache(background(), from.target, "m", hashes)
		Expect(err).NotTo(HaveOccurred())
		Expect(to.client.ImportCache(background(), to.target, "m", blocks)).To(Succeed())
		Expect(to.client.CacheEvents(background(), to.target, 0)).To(Equal(events))
	})
})

var _ = Describe("OrderSession", func() {
	load := engine.Order{
		ID: "o1", FencingNumber: 5, Verb: engine.VerbLoad,
		Artifact:     engine.Artifact{Kind: engine.KindModel, Name: "m", Version: "1"},
		Accelerators: []int{0}, BytesPerAccelerator: 1 << 30,
	}

	// Guards against an order whose outcome is unknown being taken as refused, which would free its memory, and against a
	// second sending of the order.
	DescribeTable("Send",
		func(fault standin.Fault, want error, executed bool) {
			f := newFixture(standin.Options{})
			session, err := f.client.DialOrders(background(), f.target)
			Expect(err).NotTo(HaveOccurred())
			defer session.Close()
			f.engine.Faults().Next(standin.CallOrder, fault)
			err = session.Send(background(), load)
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(want))
			}
			Expect(f.engine.Memory().Loaded(load.Artifact)).To(Equal(executed))
			Expect(f.engine.Faults().Count(standin.CallOrder)).To(Equal(1))
		},
		Entry("carried out", standin.Fault{}, nil, true),
		Entry("rejected", standin.Fault{Refuse: true}, engine.ErrOrderRejected, false),
		Entry("lost", standin.Fault{Lose: true}, engine.ErrSessionClosed, false),
		Entry("reply lost", standin.Fault{DropReply: true}, engine.ErrSessionClosed, true),
		Entry("reply to another order", standin.Fault{WrongRequestID: true}, engine.ErrSessionClosed, true),
		Entry("server error", standin.Fault{Status: 500}, engine.ErrSessionClosed, false),
	)

	// Guards against an order of an outdated lease holder.
	It("reports a stale fencing number and keeps the session", func() {
		f := newFixture(standin.Options{})
		session, err := f.client.DialOrders(background(), f.target)
		Expect(err).NotTo(HaveOccurred())
		defer session.Close()
		Expect(session.Send(background(), engine.Order{ID: "f", FencingNumber: 9, Verb: engine.VerbFence})).To(Succeed())
		Expect(session.Send(background(), load)).To(MatchError(engine.ErrStaleFencingNumber))
		report, err := session.Report(background())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.HighestFencingNumber).To(BeEquivalentTo(9))
		Expect(report.LastOrders).To(HaveExactElements("f"))
	})

	// Guards against an order that reaches a later incarnation than the one it was decided for.
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
