package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/dispatch"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/engine/openaihttp"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

const (
	outputTokens = 8
	// inputTokens is the number that the engine reports for the prompt of modelCall.
	inputTokens = 5
	// maxResumes is the number of times that a dispatcher resumes one stream.
	maxResumes = 5
)

type modelFixture struct {
	engines []*standin.Engine
	// gate admits calls to the engines in order and records the results.
	gate       *fakeGate
	dispatcher *dispatch.ModelDispatcher
}

func newModelFixture(engines int, retryBudget float64) *modelFixture {
	f := &modelFixture{gate: &fakeGate{}}
	for i := range engines {
		e := standin.New(standin.Options{ServeAll: true, OutputTokens: outputTokens})
		url, err := e.Start()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		f.engines = append(f.engines, e)
		f.gate.targets = append(f.gate.targets, engine.Target{Name: fmt.Sprint("e", i), URL: url})
	}
	client := openaihttp.New(openaihttp.Options{})
	DeferCleanup(client.Close)
	f.dispatcher = dispatch.NewModelDispatcher(client, newOptions(f.gate, retryBudget))
	return f
}

func (f *modelFixture) executions() int {
	total := 0
	for _, e := range f.engines {
		total += e.TotalExecutions()
	}
	return total
}

func modelCall(id string, stream bool) dispatch.ModelCall {
	return dispatch.ModelCall{
		Request: scheduling.Request{ID: id, Member: "a", Model: "m", InputTokens: 3, Deadline: time.Now().Add(time.Minute)},
		Path:    "/v1/chat/completions",
		Body:    fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":%v}`, stream),
	}
}

// readAll returns the number of chunks and the final error of a stream.
func readAll(s *dispatch.ModelStream) (int, error) {
	defer s.Close()
	for n := 0; ; n++ {
		if _, err := s.Next(); err != nil {
			return n, err
		}
	}
}

type modelCase struct {
	// first and second are the faults of the next call to each of the two engines. firstDown stops the first engine.
	first, second standin.Fault
	firstDown     bool
	retryBudget   float64
	// outcome is empty if the call succeeds.
	outcome    problem.Outcome
	status     int
	executions int
}

var modelCases = []TableEntry{
	Entry("no fault", modelCase{executions: 1}),
	Entry("refused, retried", modelCase{first: standin.Fault{Refuse: true}, retryBudget: 1, executions: 1}),
	Entry("refused, no budget", modelCase{first: standin.Fault{Refuse: true}, outcome: problem.NotRun, status: 503}),
	Entry("refused by both", modelCase{
		first: standin.Fault{Refuse: true}, second: standin.Fault{Refuse: true}, retryBudget: 9,
		outcome: problem.NotRun, status: 503,
	}),
	Entry("down, retried", modelCase{firstDown: true, retryBudget: 1, executions: 1}),
	Entry("down, no budget", modelCase{firstDown: true, outcome: problem.NotRun, status: 503}),
	Entry("request lost, retried", modelCase{first: standin.Fault{DropRequest: true}, retryBudget: 1, executions: 1}),
	Entry("request lost, no budget", modelCase{first: standin.Fault{DropRequest: true}, outcome: problem.Unknown, status: 502}),
	Entry("request lost, then refused", modelCase{
		first: standin.Fault{DropRequest: true}, second: standin.Fault{Refuse: true}, retryBudget: 9,
		outcome: problem.Unknown, status: 503,
	}),
	Entry("request lost, then refused, budget used up", modelCase{
		first: standin.Fault{DropRequest: true}, second: standin.Fault{Refuse: true}, retryBudget: 1,
		outcome: problem.Unknown, status: 503,
	}),
	Entry("reply lost, retried", modelCase{first: standin.Fault{DropReply: true}, retryBudget: 1, executions: 2}),
	Entry("reply lost, no budget", modelCase{
		first: standin.Fault{DropReply: true}, outcome: problem.Unknown, status: 502, executions: 1,
	}),
	Entry("reply with another request id, retried", modelCase{first: standin.Fault{WrongRequestID: true}, retryBudget: 1, executions: 2}),
	Entry("reply with another request id, no budget", modelCase{
		first: standin.Fault{WrongRequestID: true}, outcome: problem.Unknown, status: 502, executions: 1,
	}),
	Entry("engine failed", modelCase{first: standin.Fault{Status: 500}, outcome: problem.Failed, status: 502}),
	Entry("503 that does not state whether the request ran", modelCase{first: standin.Fault{Status: 503}, outcome: problem.Unknown, status: 502}),
	Entry("invalid input", modelCase{first: standin.Fault{Status: 400}, retryBudget: 9, outcome: problem.Failed, status: 400}),
}

var _ = Describe("ModelDispatcher", func() {
	runCase := func(c modelCase, call func(f *modelFixture) *problem.Problem) {
		f := newModelFixture(2, c.retryBudget)
		f.engines[0].Faults().Queue(standin.CallInference, c.first)
		f.engines[1].Faults().Queue(standin.CallInference, c.second)
		if c.firstDown {
			f.engines[0].Down()
		}
		prob := call(f)
		if c.outcome == "" {
			Expect(prob).To(BeNil())
		} else {
			Expect(prob).NotTo(BeNil())
			Expect(prob.Outcome).To(Equal(c.outcome))
			Expect(prob.Status).To(Equal(c.status))
		}
		Expect(f.executions()).To(Equal(c.executions))
		Expect(f.gate.openTickets).To(BeZero(), "each ticket is released")
	}

	// Guards against a wrong outcome, in particular not_run for a call that ran or may have run, and against retries
	// beyond the retry budget.
	DescribeTable("Complete", func(c modelCase) {
		runCase(c, func(f *modelFixture) *problem.Problem {
			response, prob := f.dispatcher.Complete(context.Background(), modelCall("r", false))
			if prob == nil {
				Expect(response.OutputTokens).To(Equal(outputTokens))
			}
			return prob
		})
	}, modelCases)

	// Guards against the same faults as the table of Complete, for streams before their first chunk.
	DescribeTable("Open", func(c modelCase) {
		runCase(c, func(f *modelFixture) *problem.Problem {
			stream, prob := f.dispatcher.Open(context.Background(), modelCall("r", true))
			if prob != nil {
				return prob
			}
			chunks, err := readAll(stream)
			Expect(err).To(MatchError(io.EOF))
			Expect(chunks).To(Equal(outputTokens + 1))
			Expect(f.gate.tokens).To(Equal(outputTokens), "tokens are reported to the ticket")
			last := f.gate.results[len(f.gate.results)-1]
			Expect(last.InputTokens).To(Equal(inputTokens))
			Expect(last.OutputTokens).To(Equal(outputTokens))
			return nil
		})
	}, modelCases)

	// Guards against an incomplete body that is returned as a complete response.
	DescribeTable("returns a problem for an incomplete response", func(fault standin.Fault) {
		f := newModelFixture(1, 0)
		f.engines[0].Faults().Queue(standin.CallInference, fault)
		_, prob := f.dispatcher.Complete(context.Background(), modelCall("r", false))
		Expect(prob).To(HaveField("Type", problem.TypeTruncated))
		Expect(prob.Outcome).To(Equal(problem.Unknown))
	},
		Entry("body cut", standin.Fault{TruncateBody: true}),
		Entry("no finish reason", standin.Fault{NoFinishReason: true}))

	// Guards against a broken stream that cannot be resumed but ends like a complete one, and against the outcome
	// not_run after the caller has received part of the response.
	DescribeTable("returns a problem if a broken stream cannot be resumed", func(fault standin.Fault, firstDown bool, budget float64) {
		f := newModelFixture(2, budget)
		f.engines[0].Faults().Queue(standin.CallInference, fault)
		stream, prob := f.dispatcher.Open(context.Background(), modelCall("r", true))
		Expect(prob).To(BeNil())
		if firstDown {
			f.engines[0].Down()
		}
		_, err := readAll(stream)
		Expect(errors.As(err, &prob)).To(BeTrue())
		Expect(prob.Outcome).To(Equal(problem.Unknown))
		Expect(f.gate.statuses()).To(HaveExactElements(admission.EndpointError))
		Expect(f.engines[1].TotalExecutions()).To(BeZero(), "another engine would generate different text")
	},
		Entry("broken", standin.Fault{CloseAfterChunks: 3}, false, 0.0),
		Entry("ended early", standin.Fault{EndAfterChunks: 3}, false, 0.0),
		Entry("chunk missing", standin.Fault{SkipChunk: 3}, false, 0.0),
		Entry("no finish reason", standin.Fault{NoFinishReason: true}, false, 9.0),
		Entry("engine down", standin.Fault{CloseAfterChunks: 2}, true, 9.0))

	// Guards against treating a resumed stream as complete although the engine ended it early. The engine client cannot
	// know whether the engine sent the finish reason before the offset.
	It("treats a resumed stream that ends without a finish reason as truncated", func() {
		g := &fakeGate{targets: []engine.Target{{Name: "e0"}}}
		inference := &scriptedInference{streamErrors: []error{engine.ErrConnectionLost, io.EOF}}
		stream, prob := dispatch.NewModelDispatcher(inference, newOptions(g, 9)).Open(context.Background(), modelCall("r", true))
		Expect(prob).To(BeNil())
		chunks, err := readAll(stream)
		Expect(chunks).To(Equal(2))
		Expect(errors.As(err, &prob)).To(BeTrue())
		Expect(prob.Type).To(Equal(problem.TypeTruncated))
	})

	// Guards against an abandoned stream that counts as an endpoint failure or does not release its capacity.
	It("releases the ticket when the caller disconnects", func() {
		f := newModelFixture(1, 0)
		stream, prob := f.dispatcher.Open(context.Background(), modelCall("r", true))
		Expect(prob).To(BeNil())
		stream.Close()
		Expect(f.gate.statuses()).To(HaveExactElements(admission.Cancelled))
		Expect(f.gate.results[0].InputTokens).To(Equal(3), "the estimate is charged")
	})

	// Guards against lost, repeated or reordered chunks after any sequence of interruptions and resumptions, against an
	// incomplete stream that ends regularly, and against a second execution.
	It("resumes interrupted streams without gaps", func() {
		f := newModelFixture(1, 1000)
		calls := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) standin.Fault {
				chunk := rapid.IntRange(1, outputTokens+1).Draw(t, "at")
				return rapid.SampledFrom([]standin.Fault{
					{CloseAfterChunks: chunk}, {EndAfterChunks: chunk}, {SkipChunk: chunk}, {RepeatChunk: chunk}, {},
				}).Draw(t, "fault")
			}), 1, maxResumes).Draw(t, "faults")
			f.engines[0].Faults().Clear()
			for _, fault := range faults {
				f.engines[0].Faults().Queue(standin.CallInference, fault)
			}
			calls++
			id := fmt.Sprint("r", calls)
			stream, prob := f.dispatcher.Open(context.Background(), modelCall(id, true))
			if prob != nil {
				t.Fatalf("open: %v", prob)
			}
			var got []string
			var err error
			for err == nil {
				var data []byte
				if data, err = stream.Next(); err == nil {
					got = append(got, string(data))
				}
			}
			stream.Close()
			want := f.engines[0].ChatChunks(id, "m", inputTokens)
			for i, data := range got {
				if data != want[i] {
					t.Fatalf("chunk %d is %s, want %s", i, data, want[i])
				}
			}
			if len(got) != len(want) || !errors.Is(err, io.EOF) {
				t.Fatalf("%d of %d chunks, then %v", len(got), len(want), err)
			}
			if n := f.engines[0].Executions(id); n != 1 {
				t.Fatalf("%d executions", n)
			}
		})
	})
})

// scriptedInference is an engine client whose streams return one chunk each and then the next of streamErrors.
type scriptedInference struct {
	engine.Inference
	streamErrors []error
}

func (s *scriptedInference) Open(_ context.Context, _ engine.Target, _ engine.Call, offset int) (engine.Stream, error) {
	err := s.streamErrors[0]
	s.streamErrors = s.streamErrors[1:]
	return &scriptedStream{offset: offset, err: err}, nil
}

type scriptedStream struct {
	offset int
	sent   bool
	err    error
}

func (s *scriptedStream) Next() (engine.Chunk, error) {
	if s.sent {
		return engine.Chunk{}, s.err
	}
	s.sent = true
	return engine.Chunk{Offset: s.offset, Data: []byte("{}"), Tokens: 1}, nil
}

func (s *scriptedStream) Close() {}
