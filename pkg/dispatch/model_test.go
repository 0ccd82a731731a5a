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
	// inputTokens is what the engine counts for the prompt of modelCall.
	inputTokens = 5
	// maxBreaks is the number of resumptions that a dispatcher makes for one stream.
	maxBreaks = 5
)

type modelFixture struct {
	engines    []*standin.Engine
	gate       *gate
	dispatcher *dispatch.ModelDispatcher
}

func newModelFixture(engines int, retries float64) *modelFixture {
	f := &modelFixture{gate: &gate{}}
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
	f.dispatcher = dispatch.NewModelDispatcher(client, options(f.gate, retries))
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

// read returns the number of chunks and the final error of a stream.
func read(s *dispatch.ModelStream) (int, error) {
	defer s.Close()
	for n := 0; ; n++ {
		if _, err := s.Next(); err != nil {
			return n, err
		}
	}
}

type modelCase struct {
	// first and second are the faults of the two engines; down ends the first.
	first, second standin.Fault
	down          bool
	retries       float64
	// outcome is empty for a complete response.
	outcome    problem.Outcome
	status     int
	executions int
}

var modelCases = []TableEntry{
	Entry("no fault", modelCase{executions: 1}),
	Entry("refused, retried", modelCase{first: standin.Fault{Refuse: true}, retries: 1, executions: 1}),
	Entry("refused, no budget", modelCase{first: standin.Fault{Refuse: true}, outcome: problem.NotRun, status: 503}),
	Entry("refused by both", modelCase{
		first: standin.Fault{Refuse: true}, second: standin.Fault{Refuse: true}, retries: 9,
		outcome: problem.NotRun, status: 503,
	}),
	Entry("down, retried", modelCase{down: true, retries: 1, executions: 1}),
	Entry("down, no budget", modelCase{down: true, outcome: problem.NotRun, status: 503}),
	Entry("lost, retried", modelCase{first: standin.Fault{Lose: true}, retries: 1, executions: 1}),
	Entry("lost, no budget", modelCase{first: standin.Fault{Lose: true}, outcome: problem.Unknown, status: 502}),
	Entry("lost, then refused", modelCase{
		first: standin.Fault{Lose: true}, second: standin.Fault{Refuse: true}, retries: 9,
		outcome: problem.Unknown, status: 503,
	}),
	Entry("lost, then refused, budget used up", modelCase{
		first: standin.Fault{Lose: true}, second: standin.Fault{Refuse: true}, retries: 1,
		outcome: problem.Unknown, status: 503,
	}),
	Entry("reply lost, retried", modelCase{first: standin.Fault{DropReply: true}, retries: 1, executions: 2}),
	Entry("reply lost, no budget", modelCase{
		first: standin.Fault{DropReply: true}, outcome: problem.Unknown, status: 502, executions: 1,
	}),
	Entry("crossed reply, retried", modelCase{first: standin.Fault{WrongRequestID: true}, retries: 1, executions: 2}),
	Entry("crossed reply, no budget", modelCase{
		first: standin.Fault{WrongRequestID: true}, outcome: problem.Unknown, status: 502, executions: 1,
	}),
	Entry("engine failed", modelCase{first: standin.Fault{Status: 500}, outcome: problem.Failed, status: 502}),
	Entry("unstated refusal", modelCase{first: standin.Fault{Status: 503}, outcome: problem.Unknown, status: 502}),
	Entry("invalid input", modelCase{first: standin.Fault{Status: 400}, retries: 9, outcome: problem.Failed, status: 400}),
}

var _ = Describe("ModelDispatcher", func() {
	run := func(c modelCase, call func(f *modelFixture) *problem.Problem) {
		f := newModelFixture(2, c.retries)
		f.engines[0].Faults().Next(standin.CallInference, c.first)
		f.engines[1].Faults().Next(standin.CallInference, c.second)
		if c.down {
			f.engines[0].Down()
		}
		failed := call(f)
		if c.outcome == "" {
			Expect(failed).To(BeNil())
		} else {
			Expect(failed).NotTo(BeNil())
			Expect(failed.Outcome).To(Equal(c.outcome))
			Expect(failed.Status).To(Equal(c.status))
		}
		Expect(f.executions()).To(Equal(c.executions))
		Expect(f.gate.open).To(BeZero(), "each ticket is released")
	}

	// Guards against a wrong outcome, in particular not_run for a call that ran or may have run, and against retries
	// without budget.
	DescribeTable("Complete", func(c modelCase) {
		run(c, func(f *modelFixture) *problem.Problem {
			response, failed := f.dispatcher.Complete(context.Background(), modelCall("r", false))
			if failed == nil {
				Expect(response.OutputTokens).To(Equal(outputTokens))
			}
			return failed
		})
	}, modelCases)

	// Guards against the same faults in streams before their first chunk.
	DescribeTable("Open", func(c modelCase) {
		run(c, func(f *modelFixture) *problem.Problem {
			stream, failed := f.dispatcher.Open(context.Background(), modelCall("r", true))
			if failed != nil {
				return failed
			}
			chunks, err := read(stream)
			Expect(err).To(MatchError(io.EOF))
			Expect(chunks).To(Equal(outputTokens + 1))
			Expect(f.gate.tokens).To(Equal(outputTokens), "tokens are reported to the ticket")
			last := f.gate.results[len(f.gate.results)-1]
			Expect(last.InputTokens).To(Equal(inputTokens))
			Expect(last.OutputTokens).To(Equal(outputTokens))
			return nil
		})
	}, modelCases)

	// Guards against an incomplete body passed on as a response.
	DescribeTable("drops incomplete responses", func(fault standin.Fault) {
		f := newModelFixture(1, 0)
		f.engines[0].Faults().Next(standin.CallInference, fault)
		_, failed := f.dispatcher.Complete(context.Background(), modelCall("r", false))
		Expect(failed).To(HaveField("Type", problem.TypeTruncated))
		Expect(failed.Outcome).To(Equal(problem.Unknown))
	},
		Entry("body cut", standin.Fault{TruncateBody: true}),
		Entry("no finish reason", standin.Fault{NoFinishReason: true}))

	// Guards against a broken stream that ends like a complete one when it cannot be resumed, and against not_run after
	// a part of the response reached the caller.
	DescribeTable("ends a stream that cannot be resumed with a problem", func(fault standin.Fault, down bool, budget float64) {
		f := newModelFixture(2, budget)
		f.engines[0].Faults().Next(standin.CallInference, fault)
		stream, failed := f.dispatcher.Open(context.Background(), modelCall("r", true))
		Expect(failed).To(BeNil())
		if down {
			f.engines[0].Down()
		}
		_, err := read(stream)
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Outcome).To(Equal(problem.Unknown))
		Expect(f.gate.statuses()).To(HaveExactElements(admission.EndpointError))
		Expect(f.engines[1].TotalExecutions()).To(BeZero(), "another engine would produce another text")
	},
		Entry("broken", standin.Fault{CloseAfterChunks: 3}, false, 0.0),
		Entry("ended early", standin.Fault{EndAfterChunks: 3}, false, 0.0),
		Entry("chunk missing", standin.Fault{SkipChunk: 3}, false, 0.0),
		Entry("no finish reason", standin.Fault{NoFinishReason: true}, false, 9.0),
		Entry("engine down", standin.Fault{CloseAfterChunks: 2}, true, 9.0))

	// Guards against an engine that ends a resumed stream early: the adapter cannot know whether the finish reason came
	// before the offset.
	It("does not take the end of a resumed stream without a finish reason as complete", func() {
		g := &gate{targets: []engine.Target{{Name: "e0"}}}
		inference := &scripted{ends: []error{engine.ErrConnectionLost, io.EOF}}
		stream, failed := dispatch.NewModelDispatcher(inference, options(g, 9)).Open(context.Background(), modelCall("r", true))
		Expect(failed).To(BeNil())
		chunks, err := read(stream)
		Expect(chunks).To(Equal(2))
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Type).To(Equal(problem.TypeTruncated))
	})

	// Guards against an abandoned stream that blames the endpoint or keeps its capacity.
	It("releases the ticket when the caller leaves", func() {
		f := newModelFixture(1, 0)
		stream, failed := f.dispatcher.Open(context.Background(), modelCall("r", true))
		Expect(failed).To(BeNil())
		stream.Close()
		Expect(f.gate.statuses()).To(HaveExactElements(admission.Cancelled))
		Expect(f.gate.results[0].InputTokens).To(Equal(3), "the estimate is charged")
	})

	// Guards against lost, repeated or reordered chunks over any sequence of breaks and resumptions, against a regular
	// end of an incomplete stream, and against a second execution.
	It("splices resumed streams", func() {
		f := newModelFixture(1, 1000)
		calls := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) standin.Fault {
				at := rapid.IntRange(1, outputTokens+1).Draw(t, "at")
				return rapid.SampledFrom([]standin.Fault{
					{CloseAfterChunks: at}, {EndAfterChunks: at}, {SkipChunk: at}, {RepeatChunk: at}, {},
				}).Draw(t, "fault")
			}), 1, maxBreaks).Draw(t, "faults")
			f.engines[0].Faults().Clear()
			for _, fault := range faults {
				f.engines[0].Faults().Next(standin.CallInference, fault)
			}
			calls++
			id := fmt.Sprint("r", calls)
			stream, failed := f.dispatcher.Open(context.Background(), modelCall(id, true))
			if failed != nil {
				t.Fatalf("open: %v", failed)
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

// scripted is an inference whose streams yield one chunk each and then end with the next of the errors.
type scripted struct {
	engine.Inference
	ends []error
}

func (s *scripted) Open(_ context.Context, _ engine.Target, _ engine.Call, offset int) (engine.Stream, error) {
	end := s.ends[0]
	s.ends = s.ends[1:]
	return &scriptedStream{offset: offset, end: end}, nil
}

type scriptedStream struct {
	offset int
	sent   bool
	end    error
}

func (s *scriptedStream) Next() (engine.Chunk, error) {
	if s.sent {
		return engine.Chunk{}, s.end
	}
	s.sent = true
	return engine.Chunk{Offset: s.offset, Data: []byte("{}"), Tokens: 1}, nil
}

func (s *scriptedStream) Close() {}
