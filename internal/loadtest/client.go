package loadtest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

// callTimeout bounds one call beyond the deadline that it states.
const callTimeout = 2 * time.Minute

// maxIdle is below the grace period of a shutdown: an unused connection to an instance that stops is dropped by the caller
// first, as the platform's balancer does, so that no call is sent on a connection that is about to be closed.
const maxIdle = 300 * time.Millisecond

// Observation is what a caller saw of one call.
type Observation struct {
	Arrival Arrival
	// Address is the instance that the call was sent to.
	Address string
	// Lateness is how much later than scheduled the call was sent; it is part of the caller's waiting time.
	Lateness time.Duration
	Status   int
	// Outcome is set for a problem document.
	Outcome problem.Outcome
	Problem problem.Type
	// Complete means a whole response: [DONE] for a stream.
	Complete   bool
	FirstToken time.Duration
	// BetweenTokens is the mean time between two chunks after the first.
	BetweenTokens time.Duration
	Tokens        int
	Total         time.Duration
	Err           string
}

// Client sends the calls of a schedule to the callers' port of one instance.
type Client struct {
	http *fasthttp.Client
	keys map[string]string
	// order is the path of the service call that books an order.
	order string
}

// NewClient returns a client with each member's bearer key. The fasthttp client's own retries are off, since a retried
// call would be counted once and sent twice.
func NewClient(keys map[string]string, orderPath string) *Client {
	return &Client{
		http: &fasthttp.Client{
			StreamResponseBody:        true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxConnsPerHost:           4096,
			MaxIdleConnDuration:       maxIdle,
		},
		keys:  keys,
		order: orderPath,
	}
}

// Dial replaces how connections are opened.
func (c *Client) Dial(dial func(address string) (net.Conn, error)) {
	c.http.Dial = dial
}

// Call sends one call and reads its response to the end.
func (c *Client) Call(address string, a Arrival, scheduled time.Time) Observation {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.prepare(request, address, a)
	started := time.Now()
	o := Observation{Arrival: a, Address: address, Lateness: started.Sub(scheduled)}
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		o.Err = err.Error()
		o.Total = time.Since(scheduled)
		return o
	}
	o.Status = response.StatusCode()
	err := c.read(response, scheduled, &o)
	_ = response.CloseBodyStream()
	if err != nil {
		o.Err = err.Error()
	}
	o.Total = time.Since(scheduled)
	return o
}

func (c *Client) prepare(request *fasthttp.Request, address string, a Arrival) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("Authorization", "Bearer "+c.keys[a.Member])
	request.Header.SetContentType("application/json")
	if a.Kind == OrderCall {
		request.SetRequestURI("http://" + address + c.order)
		request.Header.Set("Idempotency-Key", a.OrderID)
		request.SetBody(marshal(orderBody{OrderID: a.OrderID}))
		return
	}
	request.SetRequestURI("http://" + address + "/v1/chat/completions")
	request.SetBody(marshal(chatBody{
		Model:     a.Model,
		Stream:    true,
		MaxTokens: a.OutputTokens,
		Messages:  []chatMessage{{Role: "user", Content: a.Prompt}},
	}))
}

type orderBody struct {
	OrderID string `json:"orderId"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "marshal a request of the load tool"))
	}
	return data
}

func (c *Client) read(response *fasthttp.Response, scheduled time.Time, o *Observation) error {
	body := response.BodyStream()
	if o.Status != fasthttp.StatusOK || o.Arrival.Kind == OrderCall {
		return readWhole(body, o)
	}
	scanner := bufio.NewScanner(body)
	var first, last time.Time
	for scanner.Scan() {
		data, isData := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !isData {
			continue
		}
		if string(data) == "[DONE]" {
			o.Complete = true
			continue
		}
		if o.noteError(data) {
			continue
		}
		last = time.Now()
		if first.IsZero() {
			first = last
		}
		o.Tokens++
	}
	if !first.IsZero() {
		o.FirstToken = first.Sub(scheduled)
	}
	if o.Tokens > 1 {
		o.BetweenTokens = last.Sub(first) / time.Duration(o.Tokens-1)
	}
	return scanner.Err()
}

// noteError recognises the terminal error event of a stream.
func (o *Observation) noteError(data []byte) bool {
	if !bytes.Contains(data, []byte(`"outcome"`)) {
		return false
	}
	var event struct {
		Error   *problem.Problem `json:"error"`
		Type    problem.Type     `json:"type"`
		Outcome problem.Outcome  `json:"outcome"`
	}
	if json.Unmarshal(data, &event) != nil {
		return false
	}
	if event.Error != nil {
		event.Type = event.Error.Type
		event.Outcome = event.Error.Outcome
	}
	o.Problem = event.Type
	o.Outcome = event.Outcome
	return event.Outcome != ""
}

func readWhole(body interface{ Read([]byte) (int, error) }, o *Observation) error {
	var buffer bytes.Buffer
	_, err := buffer.ReadFrom(body)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if o.Status == fasthttp.StatusOK || o.Status == fasthttp.StatusCreated {
		o.Complete = true
		return nil
	}
	var p problem.Problem
	if json.Unmarshal(buffer.Bytes(), &p) == nil {
		o.Outcome = p.Outcome
		o.Problem = p.Type
	}
	return nil
}
