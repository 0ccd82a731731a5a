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

// batch is the continuous batch: a bounded number of running requests and a bounded queue ordered by priority.
type batch struct {
	maxRunning, maxWaiting int

	mu       sync.Mutex
	running  int
	sequence int
	queue    waiters
}

type waiter struct {
	priority int
	sequence int
	index    int
	admitted chan struct{}
}

func newBatch(maxRunning, maxWaiting int) *batch {
	return &batch{maxRunning: maxRunning, maxWaiting: maxWaiting}
}

// join returns a waiter, or nil when the queue is full.
func (b *batch) join(priority int) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.maxWaiting {
		return nil
	}
	b.sequence++
	w := &waiter{priority: priority, sequence: b.sequence, admitted: make(chan struct{})}
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

// leave ends a waiter, whether it was admitted or not.
func (b *batch) leave(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.queue, w.index)
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

// waiters is a heap: higher priority first, then arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].sequence < w[j].sequence
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}
func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	last.index = -1
	*w = old[:len(old)-1]
	return last
}

// run is one execution of a request. It outlives its connection, so that its stream can be resumed.
type run struct {
	id           string
	model        string
	chat         bool
	inputTokens  int
	cachedTokens int
	outputTokens int
	limited      bool
	noFinish     bool
	ctx          context.Context
	cancel       context.CancelFunc

	mu      sync.Mutex
	chunks  [][]byte
	text    []byte
	done    bool
	readers int
	// left counts the times that the last reader left; a timer that was started for an earlier time does nothing.
	left    int
	changed chan struct{}
}

// execute runs the request in the batch until its last token.
func (e *Engine) execute(r *run, w *waiter) {
	defer e.batch.leave(w)
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
		r.add(token, r.chunk(token, ""))
	}
	r.finish()
}

// ChatChunks returns the chunks that the engine produces for a streamed chat call without a token limit.
func (e *Engine) ChatChunks(id, model string, inputTokens int) []string {
	r := &run{id: id, model: model, chat: true, inputTokens: inputTokens, outputTokens: e.options.OutputTokens}
	var chunks []string
	for i := range r.outputTokens {
		chunks = append(chunks, string(r.chunk(e.token(id, i), "")))
	}
	return append(chunks, string(r.chunk("", r.reason())))
}

// token is determined by the seed, the request id and the position, so that a test can tell responses apart.
func (e *Engine) token(id string, position int) string {
	return fmt.Sprintf("%x.%d ", xxhash.Sum64String(fmt.Sprintf("%d/%s", e.options.Seed, id))>>48, position)
}

func (r *run) add(token string, chunk []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text = append(r.text, token...)
	r.chunks = append(r.chunks, chunk)
	r.wake()
}

func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, r.chunk("", r.reason()))
	r.done = true
	r.wake()
}

func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) reason() string {
	switch {
	case r.noFinish:
		return ""
	case r.limited:
		return "length"
	default:
		return "stop"
	}
}

// chunkAt waits for the chunk with the offset; ok is false at the end of the run, err is set when the run was cancelled.
func (r *run) chunkAt(offset int) (chunk []byte, ok bool, err error) {
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

// attach counts a reader.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// detach ends a reader and tells whether it was the last one, with the number for expire.
func (r *run) detach() (last bool, left int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.left++
	return r.readers == 0, r.left
}

// expire cancels the run unless a reader came after the numbered departure.
func (r *run) expire(left int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers > 0 || r.left != left {
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

// chunk encodes one stream chunk; a reason marks the last one.
func (r *run) chunk(token, reason string) []byte {
	c := choice{}
	c.FinishReason = optional(reason)
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
		c.Delta = &message{Content: token}
	} else {
		c.Text = token
	}
	out := completion{ID: r.id, Object: object, Model: r.model, Choices: []choice{c}}
	if reason != "" {
		out.Usage = r.usage()
	}
	return encode(out)
}

// body encodes the complete response of a finished run.
func (r *run) body() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := choice{}
	c.FinishReason = optional(r.reason())
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: string(r.text)}
	} else {
		c.Text = string(r.text)
	}
	return encode(completion{ID: r.id, Object: object, Model: r.model, Choices: []choice{c}, Usage: r.usage()})
}

func optional(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

// encode marshals values of types that cannot fail.
func encode(value any) []byte {
	out, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return out
}
