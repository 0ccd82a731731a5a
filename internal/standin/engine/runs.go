package engine

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// batch models continuous batching: a limited number of running requests and a limited queue ordered by priority.
type batch struct {
	maxRunning, maxWaiting int

	mu          sync.Mutex
	running     int
	lastArrival int
	queue       waitQueue
}

type waiter struct {
	priority   int
	arrival    int
	queueIndex int
	admitted   chan struct{}
}

func newBatch(maxRunning, maxWaiting int) *batch {
	return &batch{maxRunning: maxRunning, maxWaiting: maxWaiting}
}

// submit queues a request and returns its waiter, or nil if the queue is full.
func (b *batch) submit(priority int) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.maxWaiting {
		return nil
	}
	b.lastArrival++
	w := &waiter{priority: priority, arrival: b.lastArrival, admitted: make(chan struct{})}
	heap.Push(&b.queue, w)
	b.admit()
	return w
}

func (b *batch) admit() {
	for b.running < b.maxRunning && len(b.queue) > 0 {
		w := heap.Pop(&b.queue).(*waiter)
		b.running++
		close(w.admitted)
	}
}

// remove removes a request from the queue or, once admitted, from the batch.
func (b *batch) remove(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.queueIndex >= 0 {
		heap.Remove(&b.queue, w.queueIndex)
		return
	}
	b.running--
	b.admit()
}

func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.queue)
}

// waitQueue is a heap ordered by descending priority, then by arrival.
type waitQueue []*waiter

func (w waitQueue) Len() int { return len(w) }
func (w waitQueue) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}
func (w waitQueue) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].queueIndex, w[j].queueIndex = i, j
}
func (w *waitQueue) Push(x any) {
	added := x.(*waiter)
	added.queueIndex = len(*w)
	*w = append(*w, added)
}
func (w *waitQueue) Pop() any {
	old := *w
	last := old[len(old)-1]
	last.queueIndex = -1
	*w = old[:len(old)-1]
	return last
}

// run is one execution of a request. It outlives the connection, so that its stream can be resumed.
type run struct {
	id               string
	model            string
	chat             bool
	inputTokens      int
	cachedTokens     int
	outputTokens     int
	hasTokenLimit    bool
	omitFinishReason bool
	ctx              context.Context
	cancel           context.CancelFunc

	mu      sync.Mutex
	chunks  [][]byte
	text    []byte
	done    bool
	readers int
	// detachCount is the number of readers removed. A resume timer started at an earlier count does nothing.
	detachCount int
	// changed is closed and replaced at each chunk and at the end, to wake up readers.
	changed chan struct{}
}

// execute waits for admission to the batch and generates all tokens.
func (e *Engine) execute(r *run, w *waiter) {
	defer e.batch.remove(w)
	select {
	case <-r.ctx.Done():
		return
	case <-w.admitted:
	}
	prefill := float64(r.inputTokens-r.cachedTokens) / e.options.Timing.PrefillTokensPerSecond
	if !e.sleep(r.ctx, time.Duration(prefill*float64(time.Second))) {
		return
	}
	for i := range r.outputTokens {
		running, _ := e.batch.counts()
		timing := e.options.Timing
		interval := timing.TokenInterval + time.Duration(running-1)*timing.TokenIntervalPerRequest
		if i > 0 && !e.sleep(r.ctx, interval) {
			return
		}
		token := e.token(r.id, i)
		r.addToken(token, r.chunk(token, ""))
	}
	r.finish()
}

// ChatChunks returns the chunks that the engine sends for a streamed chat request without a token limit.
func (e *Engine) ChatChunks(id, model string, inputTokens int) []string {
	r := &run{id: id, model: model, chat: true, inputTokens: inputTokens, outputTokens: e.options.OutputTokens}
	var chunks []string
	for i := range r.outputTokens {
		chunks = append(chunks, string(r.chunk(e.token(id, i), "")))
	}
	return append(chunks, string(r.chunk("", r.finishReason())))
}

// token returns text determined by the seed, the request id and the position, so that a test can distinguish responses.
func (e *Engine) token(id string, position int) string {
	return fmt.Sprintf("%x.%d ", xxhash.Sum64String(fmt.Sprintf("%d/%s", e.options.Seed, id))>>48, position)
}

func (r *run) addToken(token string, chunk []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text = append(r.text, token...)
	r.chunks = append(r.chunks, chunk)
	r.notify()
}

func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, r.chunk("", r.finishReason()))
	r.done = true
	r.notify()
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) finishReason() string {
	switch {
	case r.omitFinishReason:
		return ""
	case r.hasTokenLimit:
		return "length"
	default:
		return "stop"
	}
}

// waitForChunk waits for the chunk with the offset. At the end of the run ok is false; err is set if the run was
// cancelled.
func (r *run) waitForChunk(offset int) (chunk []byte, ok bool, err error) {
	for {
		r.mu.Lock()
		if offset < len(r.chunks) {
			chunk = r.chunks[offset]
			r.mu.Unlock()
			return chunk, true, nil
		}
		done, changed := r.done, r.changed
		r.mu.Unlock()
		if done {
			return nil, false, nil
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return nil, false, r.ctx.Err()
		}
	}
}

func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// removeReader reports whether the removed reader was the last one, and returns the count for cancelIfUnread.
func (r *run) removeReader() (last bool, detachCount int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.detachCount++
	return r.readers == 0, r.detachCount
}

// cancelIfUnread cancels the run unless a reader was added or removed since removeReader returned the count. It reports
// whether it cancelled the run.
func (r *run) cancelIfUnread(detachCount int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers > 0 || r.detachCount != detachCount {
		return false
	}
	r.cancel()
	return true
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (r *run) usage() *usage {
	return &usage{
		PromptTokens:     r.inputTokens,
		CompletionTokens: r.outputTokens,
		TotalTokens:      r.inputTokens + r.outputTokens,
	}
}

// chunk encodes one chunk of a stream. A finish reason marks the last chunk, which carries the usage.
func (r *run) chunk(token, finishReason string) []byte {
	c := choice{}
	c.FinishReason = nilIfEmpty(finishReason)
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
		c.Delta = &message{Content: token}
	} else {
		c.Text = token
	}
	out := completion{ID: r.id, Object: object, Model: r.model, Choices: []choice{c}}
	if finishReason != "" {
		out.Usage = r.usage()
	}
	return encode(out)
}

// response encodes the response of a finished run that is not streamed.
func (r *run) response() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := choice{}
	c.FinishReason = nilIfEmpty(r.finishReason())
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: string(r.text)}
	} else {
		c.Text = string(r.text)
	}
	return encode(completion{ID: r.id, Object: object, Model: r.model, Choices: []choice{c}, Usage: r.usage()})
}

func nilIfEmpty(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

// encode marshals a value whose type can always be encoded.
func encode(value any) []byte {
	out, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return out
}
