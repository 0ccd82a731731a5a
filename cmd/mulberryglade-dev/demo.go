package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// demoScenario contains the calls of the demonstration for a sample deployment. examples/README.md publishes the keys.
type demoScenario struct {
	key, model, prompt       string
	service, path, orderBody string
}

func newDemoScenario(deployment string) demoScenario {
	if deployment == "lusorenda" {
		return demoScenario{
			key:       "lusorenda-index-evaluation-key-1",
			prompt:    "Summarise the lease of flat 12.",
			service:   "index-api",
			path:      "/publications",
			orderBody: `{"orderId":"publication-1","month":"2026-11"}`,
		}
	}
	return demoScenario{
		key:       "sindhuli-kitchens-evaluation-key",
		prompt:    "Plan five school lunches with lentils and spinach.",
		service:   "order-desk",
		path:      "/orders",
		orderBody: `{"orderId":"order-1","item":"spinach","kg":40}`,
	}
}

// runDemo sends a streamed model call to the first instance, and the same order with the same idempotency key to two
// instances.
func (s *system) runDemo(ctx context.Context) error {
	sc := newDemoScenario(s.options.Deployment)
	sc.model = s.firstCallableModel(sc.key)
	if err := s.streamCall(ctx, sc); err != nil {
		return errors.Wrap(err, "streamed call")
	}
	for i := range min(2, len(s.daemons)) {
		if err := s.placeOrder(i, sc); err != nil {
			return errors.Wrap(err, "order")
		}
	}
	var body struct {
		OrderID string `json:"orderId"`
	}
	if err := json.Unmarshal([]byte(sc.orderBody), &body); err != nil {
		return errors.WithStack(err)
	}
	fmt.Printf("\nThe service ran %q %d time(s).\n", body.OrderID, s.testEnv.Executions(body.OrderID))
	return nil
}

// firstCallableModel returns the first model that the member with the key may call.
func (s *system) firstCallableModel(key string) string {
	for _, m := range s.testEnv.TypedRecords.Models {
		for _, member := range s.testEnv.TypedRecords.Members {
			for _, callerKey := range member.Keys {
				if callerKey.Matches(key) && m.MayCall(member.Name) {
					return m.Name
				}
			}
		}
	}
	return ""
}

func (s *system) streamCall(_ context.Context, sc demoScenario) error {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.daemons[0].Addresses().Caller + "/v1/chat/completions")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("Authorization", "Bearer "+sc.key)
	request.Header.SetContentType("application/json")
	body, err := json.Marshal(chatRequest{
		Model:     sc.model,
		Stream:    true,
		MaxTokens: 24,
		Messages:  []chatMessage{{Role: "user", Content: sc.prompt}},
	})
	if err != nil {
		return errors.WithStack(err)
	}
	request.SetBody(body)
	client := &fasthttp.Client{StreamResponseBody: true}
	if err := client.Do(request, response); err != nil {
		return errors.WithStack(err)
	}
	fmt.Printf("\nPOST /v1/chat/completions model=%s -> %d\n  ", sc.model, response.StatusCode())
	if err := printStream(response); err != nil {
		return err
	}
	return s.printDecision(0, string(response.Header.Peek("X-Request-Id")))
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func printStream(response *fasthttp.Response) error {
	if response.StatusCode() != fasthttp.StatusOK {
		fmt.Println(string(response.Body()))
		return errors.Newf("status %d", response.StatusCode())
	}
	scanner := bufio.NewScanner(response.BodyStream())
	done := false
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return errors.Wrapf(err, "chunk %q", data)
		}
		for _, c := range chunk.Choices {
			fmt.Print(c.Delta.Content)
		}
	}
	fmt.Println()
	if !done {
		return errors.New("the stream ended without [DONE]")
	}
	return errors.WithStack(scanner.Err())
}

// placeOrder sends the order of the scenario to an instance, always with the same idempotency key.
func (s *system) placeOrder(instanceIndex int, sc demoScenario) error {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.daemons[instanceIndex].Addresses().Caller + "/v1/services/" + sc.service + sc.path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("Authorization", "Bearer "+sc.key)
	request.Header.Set("Idempotency-Key", "demo-key-1")
	request.Header.SetContentType("application/json")
	request.SetBodyString(sc.orderBody)
	if err := fasthttp.Do(request, response); err != nil {
		return errors.WithStack(err)
	}
	fmt.Printf("\nPOST /v1/services/%s%s at %s with Idempotency-Key demo-key-1 -> %d\n  %s\n",
		sc.service, sc.path, s.testEnv.TypedRecords.DataCentres[instanceIndex].Name, response.StatusCode(), response.Body())
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("status %d", response.StatusCode())
	}
	return s.printDecision(instanceIndex, string(response.Header.Peek("X-Request-Id")))
}

// printDecision prints the decision record of a request.
func (s *system) printDecision(instanceIndex int, requestID string) error {
	status, body, err := fasthttp.Get(nil, "http://"+s.daemons[instanceIndex].Addresses().Admin+"/v1/decisions/"+requestID)
	if err != nil {
		return errors.WithStack(err)
	}
	if status == fasthttp.StatusNotFound {
		fmt.Printf("  no routing decision for request %s: the recorded response was sent\n", requestID)
		return nil
	}
	fmt.Printf("  decision for request %s:\n  %s\n", requestID, body)
	return nil
}
