package daemon_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

// outputTokens is the number of tokens of each response.
const outputTokens = 12

// streamResult is the content that a caller received from a stream.
type streamResult struct {
	// ids are the distinct ids of the chunks, tokens their contents.
	ids    map[string]bool
	tokens []string
	// finished reports whether a chunk had a finish reason, done whether the end marker was received.
	finished bool
	done     bool
	failure  *problem.Problem
	err      error
}

// chunk is an event or a whole response of an engine.
type chunk struct {
	ID      string
	Choices []struct {
		Delta, Message struct{ Content string }
		FinishReason   *string `json:"finish_reason"`
	}
}

func chatBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`,
		model, stream, outputTokens)
}

func (i *instance) chat(id, model string) reply {
	return i.do(http.MethodPost, "/v1/chat/completions", chatBody(model, false), "X-Request-Id", id)
}

// stream makes a streaming call and reads the response to its end.
func (i *instance) stream(id, model string) streamResult {
	s := streamResult{ids: make(map[string]bool)}
	r := i.do(http.MethodPost, "/v1/chat/completions", chatBody(model, true), "X-Request-Id", id)
	s.err = r.err
	if r.status >= http.StatusBadRequest {
		s.failure = &r.problem
		return s
	}
	event := ""
	lines := bufio.NewScanner(strings.NewReader(r.body))
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "":
			event = ""
		case name == "event":
			event = value
		case event == "error":
			s.failure = new(problem.Problem)
			s.err = errors.Join(s.err, json.Unmarshal([]byte(value), s.failure))
		case value == "[DONE]":
			s.done = true
		default:
			s.addChunk(value)
		}
	}
	return s
}

func (s *streamResult) addChunk(data string) {
	var c chunk
	s.err = errors.Join(s.err, json.Unmarshal([]byte(data), &c))
	s.ids[c.ID] = true
	for _, choice := range c.Choices {
		s.finished = s.finished || choice.FinishReason != nil
		if choice.Delta.Content != "" {
			s.tokens = append(s.tokens, choice.Delta.Content)
		}
	}
}

// check verifies that a stream has only chunks of its own request, in order and without gaps, and either the end marker
// after the whole text or a failure.
func (s streamResult) check(id string) {
	GinkgoHelper()
	for chunkID := range s.ids {
		Expect(chunkID).To(HavePrefix(id+"."), "chunk of another request")
	}
	Expect(len(s.ids)).To(BeNumerically("<=", 1))
	expectTokens(s.tokens)
	if s.done {
		Expect(s.failure).To(BeNil())
		Expect(s.finished).To(BeTrue())
		Expect(s.tokens).To(HaveLen(outputTokens), "end marker on a truncated stream")
		return
	}
	Expect(s.failure != nil || s.err != nil).To(BeTrue(), "stream ended without end marker and without failure")
}

// expectTokens checks that tokens come from one execution, in order and without gaps. A token is
// "<execution>.<position> ".
func expectTokens(tokens []string) {
	GinkgoHelper()
	for n, token := range tokens {
		execution, _, _ := strings.Cut(tokens[0], ".")
		Expect(token).To(Equal(fmt.Sprintf("%s.%d ", execution, n)))
	}
}

// checkComplete verifies that a response without streaming is complete and belongs to the request.
func (r reply) checkComplete(id string) {
	GinkgoHelper()
	Expect(r.outcome()).To(BeEmpty(), r.body)
	var c chunk
	Expect(json.Unmarshal([]byte(r.body), &c)).To(Succeed())
	Expect(c.ID).To(HavePrefix(id+"."), "response of another request")
	Expect(c.Choices).To(HaveLen(1))
	tokens := strings.SplitAfter(strings.TrimSuffix(c.Choices[0].Message.Content, " "), " ")
	Expect(tokens).To(HaveLen(outputTokens))
	tokens[outputTokens-1] += " "
	expectTokens(tokens)
}

// creditRetryBudget makes successful calls, each of which credits the budget with one retry.
func (i *instance) creditRetryBudget(model string) {
	GinkgoHelper()
	for range 10 {
		i.chat("earn", model).checkComplete("earn")
	}
}

var _ = Describe("a response of an engine", func() {
	var env *testEnv
	var a *instance

	// Each test has its own instance, since the failures of one test would keep an engine ejected during the next.
	BeforeEach(func() {
		env = newTestEnv(testEnvOptions{engines: 2, preloaded: true})
		a = env.startReady("entry-1", dcA)
		a.creditRetryBudget("menu")
	})

	// Guards against a stream that ends when its connection breaks, against chunks that are missing or repeated after
	// it is resumed, and against a continuation with the text of another engine.
	DescribeTable("is resumed and complete after", func(id string, fault standin.Fault) {
		env.eachEngine(func(e *standin.Engine) { e.Faults().Queue(standin.CallInference, fault) })
		s := a.stream(id, "menu")
		s.check(id)
		Expect(s.done).To(BeTrue())
		for chunkID := range s.ids {
			executions := 0
			env.eachEngine(func(e *standin.Engine) { executions += e.Executions(chunkID) })
			Expect(executions).To(Equal(1))
		}
	},
		Entry("a broken connection", "broken", standin.Fault{CloseAfterChunks: 4}),
		Entry("an end without its marker", "ended", standin.Fault{EndAfterChunks: 4}),
		Entry("a missing chunk", "missing", standin.Fault{SkipChunk: 4}),
		Entry("a repeated chunk", "repeated", standin.Fault{RepeatChunk: 4}),
	)

	// Guards against an end marker after an incomplete text, and against the response of another request.
	DescribeTable("is never passed on as complete after", func(id string, fault standin.Fault) {
		env.eachEngine(func(e *standin.Engine) { e.Faults().SetDefault(standin.CallInference, fault) })
		s := a.stream("stream-"+id, "menu")
		s.check("stream-" + id)
		Expect(s.done).To(BeFalse())
		r := a.chat("whole-"+id, "menu")
		if fault.WrongRequestID || fault.NoFinishReason {
			Expect(r.outcome()).To(Equal(problem.Unknown), r.body)
		} else if r.outcome() == "" {
			r.checkComplete("whole-" + id)
		}
	},
		Entry("a wrong request id", "crossed", standin.Fault{WrongRequestID: true}),
		Entry("an end without a finish reason", "unfinished", standin.Fault{NoFinishReason: true}),
		Entry("repeated broken connections", "breaking", standin.Fault{CloseAfterChunks: 1}),
		Entry("repeated early ends", "ending", standin.Fault{EndAfterChunks: 1}),
	)

	// Guards against a truncated response, and against not_run although the engine ran the request.
	DescribeTable("without streaming comes from the other engine or not at all after", func(id string, fault standin.Fault) {
		env.eachEngine(func(e *standin.Engine) { e.Faults().SetDefault(standin.CallInference, fault) })
		r := a.chat("always-"+id, "menu")
		Expect(r.outcome()).To(Equal(problem.Unknown), r.body)
		env.eachEngine(func(e *standin.Engine) { e.Faults().Clear() })
		a.creditRetryBudget("menu")
		env.bed.Engines[engineName(dcA, 0)].Faults().Queue(standin.CallInference, fault)
		env.bed.Engines[engineName(dcA, 1)].Faults().Queue(standin.CallInference, standin.Fault{})
		a.chat("once-"+id, "menu").checkComplete("once-" + id)
	},
		Entry("a truncated body", "truncated", standin.Fault{TruncateBody: true}),
		Entry("a lost reply", "lost", standin.Fault{DropReply: true}),
		Entry("a wrong request id", "wrong", standin.Fault{WrongRequestID: true}),
	)

	// Guards against responses that reach another caller when many connections break and replies are late.
	It("reaches its own caller while connections break and replies are late", func() {
		faults := []standin.Fault{
			{CloseAfterChunks: 3}, {}, {WrongRequestID: true}, {DropReply: true}, {Delay: 30 * time.Millisecond}, {TruncateBody: true},
			{RepeatChunk: 2}, {}, {SkipChunk: 5}, {Delay: time.Millisecond},
		}
		const calls = 60
		env.eachEngine(func(e *standin.Engine) {
			for n := range calls {
				e.Faults().Queue(standin.CallInference, faults[n%len(faults)])
			}
		})
		var mu sync.Mutex
		streams, replies := make(map[string]streamResult), make(map[string]reply)
		var group conc.WaitGroup
		for n := range calls {
			id := fmt.Sprintf("many-%d", n)
			group.Go(func() {
				defer GinkgoRecover()
				if n%2 == 0 {
					s := a.stream(id, "menu")
					mu.Lock()
					defer mu.Unlock()
					streams[id] = s
					return
				}
				r := a.chat(id, "menu")
				mu.Lock()
				defer mu.Unlock()
				replies[id] = r
			})
		}
		group.Wait()
		complete := 0
		for id, s := range streams {
			s.check(id)
		}
		for id, r := range replies {
			if r.outcome() == "" {
				r.checkComplete(id)
				complete++
			}
		}
		Expect(complete).To(BeNumerically(">", 0))
	})
})

func (env *testEnv) eachEngine(do func(*standin.Engine)) {
	for _, e := range env.bed.Engines {
		do(e)
	}
}

var _ = Describe("a stream of an engine that cannot resume it", func() {
	// Guards against an end marker on a truncated stream, and against a text that another execution continues.
	It("ends with an error event when the engine keeps no streams", func() {
		env := newTestEnv(testEnvOptions{engines: 2, preloaded: true, engine: standin.Options{NoResume: true}})
		a := env.startReady("entry-1", dcA)
		a.creditRetryBudget("menu")
		env.eachEngine(func(e *standin.Engine) {
			e.Faults().Queue(standin.CallInference, standin.Fault{CloseAfterChunks: 4})
		})
		s := a.stream("no-resume", "menu")
		s.check("no-resume")
		Expect(s.done).To(BeFalse())
		Expect(s.tokens).NotTo(BeEmpty())
		Expect(s.failure).NotTo(BeNil())
		Expect(s.failure.Outcome).To(Equal(problem.Unknown))
	})

	// Guards against streams that seem complete, or hang, when their engine's process is replaced. The new process must
	// have its model loaded again.
	It("ends with an error event when the engine restarts, and the engine serves again", func() {
		env := newTestEnv(testEnvOptions{preloaded: true})
		a := env.startReady("entry-1", dcA)
		e := env.bed.Engines[engineName(dcA, 0)]
		const streams = 6
		barrier := newBarrier(streams)
		e.Faults().SetDefault(standin.CallInference, standin.Fault{OnChunk: barrier.beforeChunk(5)})
		results := make([]<-chan streamResult, streams)
		for n := range streams {
			results[n] = inBackground(func() streamResult { return a.stream(fmt.Sprintf("restart-%d", n), "menu") })
		}
		Eventually(barrier.reached).Should(BeClosed())
		e.Down()
		barrier.release()
		Expect(e.Up()).To(Succeed())
		for n, result := range results {
			var s streamResult
			Eventually(result).Should(Receive(&s))
			s.check(fmt.Sprintf("restart-%d", n))
			Expect(s.done).To(BeFalse())
			Expect(s.failure).NotTo(BeNil())
		}
		Eventually(func() problem.Outcome { return a.chat("after", "menu").outcome() }).Should(BeEmpty())
		Expect(env.bed.Overcommits()).To(BeZero())
	})
})

// barrier blocks calls at a point until release is called.
type barrier struct {
	mu sync.Mutex
	// pending is the number of calls that have not reached the point; reached is closed when it becomes zero.
	pending  int
	reached  chan struct{}
	released chan struct{}
}

func newBarrier(calls int) *barrier {
	return &barrier{pending: calls, reached: make(chan struct{}), released: make(chan struct{})}
}

func (b *barrier) wait() {
	b.mu.Lock()
	b.pending--
	if b.pending == 0 {
		close(b.reached)
	}
	b.mu.Unlock()
	<-b.released
}

// beforeChunk returns a function for Fault.OnChunk that blocks a stream before the chunk with this number.
func (b *barrier) beforeChunk(chunk int) func(int) {
	return func(sent int) {
		if sent == chunk {
			b.wait()
		}
	}
}

func (b *barrier) release() { close(b.released) }
