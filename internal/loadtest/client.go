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

// callTimeout bounds a call on the client's side, whatever deadline the instance applies to it.
const callTimeout = 2 * time.Minute

// maxIdleConnDuration is below the grace period of a shutdown. The client, like the load balancer in production,
// closes an idle connection to a stopping instance first, so that no call is sent on a connection that the instance is
// about to close.
const maxIdleConnDuration = 300 * time.Millisecond

// Observation is the result of one call as its caller sees it.
type Observation struct {
	Arrival Arrival
	// Address is the address of the instance to which the call was sent.
	Address string
	// Lateness is the delay between the scheduled and the actual time of sending. FirstToken and Total include it.
	Lateness time.Duration
	Status   int
	// Outcome and Problem are set if the response is a problem document or a stream ends with an error event.
	Outcome problem.Outcome
	Problem problem.Type
	// Complete reports whether the whole response was received, for a stream up to [DONE].
	Complete   bool
	FirstToken time.Duration
	// BetweenTokens is the mean interval between two successive chunks.
	BetweenTokens time.Duration
	Tokens        int
	Total         time.Duration
	Err           string
}

// Client sends the calls of a schedule to the instances.
type Client struct {
	http *fasthttp.Client
	keys map[string]string
	// orderPath is the path of the service call that places an order.
	orderPath string
}

// NewClient returns a client with the bearer key of each member. Retries of the fasthttp client are off, since a
// retried call would be sent twice but counted once.
func NewClient(keys map[string]string, orderPath string) *Client {
	return &Client{
		http: &fasthttp.Client{
			StreamResponseBody:        true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxConnsPerHost:           4096,
			MaxIdleConnDuration:       maxIdleConnDuration,
		},
		keys:      keys,
		orderPath: orderPath,
	}
}

// SetDial sets the function that opens connections.
func (c *Client) SetDial(dial func(address string) (net.Conn, error)) {
	c.http.Dial = dial
}

// Call sends one call and reads its whole response.
func (c *Client) Call(address string, a Arrival, scheduled time.Time) Observation {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.prepareRequest(request, address, a)
	sentAt := time.Now()
	o := Observation{Arrival: a, Address: address, Lateness: sentAt.Sub(scheduled)}
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		o.Err = err.Error()
		o.Total = time.Since(scheduled)
		return o
	}
	o.Status = response.StatusCode()
	err := c.readResponse(response, scheduled, &o)
	_ = response.CloseBodyStream()
	if err != nil {
		o.Err = err.Error()
	}
	o.Total = time.Since(scheduled)
	return o
}

func (c *Client) prepareRequest(request *fasthttp.Request, address string, a Arrival) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("Authorization", "Bearer "+c.keys[a.Member])
	request.Header.SetContentType("application/json")
	if a.Kind == OrderCall {
		request.SetRequestURI("http://" + address + c.orderPath)
		request.Header.Set("Idempotency-Key", a.OrderID)
		request.SetBody(mustMarshal(orderBody{OrderID: a.OrderID}))
		return
	}
	request.SetRequestURI("http://" + address + "/v1/chat/completions")
	request.SetBody(mustMarshal(chatBody{
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

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "marshal request body"))
	}
	return data
}

func (c *Client) readResponse(response *fasthttp.Response, scheduled time.Time, o *Observation) error {
	body := response.BodyStream()
	if o.Status != fasthttp.StatusOK || o.Arrival.Kind == OrderCall {
		return readBody(body, o)
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
		if o.recordStreamError(data) {
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

// recordStreamError records the outcome of a terminal error event of a stream. It reports whether data is such an
// event.
func (o *Observation) recordStreamError(data []byte) bool {
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

func readBody(body interface{ Read([]byte) (int, error) }, o *Observation) error {
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
