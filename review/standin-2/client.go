package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one request of a consumer and what came of it.
type call struct {
	id      string
	machine string
	sentAt  time.Time
	status  int
	signed  bool
	// whole is set if the answer ended as complete.
	whole  bool
	pieces int
	body   int
	err    error
}

var callNumber atomic.Int64

const host = "ficu95.example"

// newID returns an Attempt-Id.
func newID() string {
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+callNumber.Add(1))
}

// send sends a request to a machine and reads its answer.
func send(client *http.Client, e *edge, method, path, body string, deadline time.Duration, headers ...string) *call {
	return sendAs(client, newID(), e, method, path, body, deadline, headers...)
}

// sendAs is like send for a given Attempt-Id.
func sendAs(client *http.Client, id string, e *edge, method, path, body string, deadline time.Duration, headers ...string) *call {
	c := &call{id: id, machine: e.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, strings.NewReader(body))
	if err != nil {
		c.err = err
		return c
	}
	req.Host = host
	req.Header.Set("Attempt-Id", c.id)
	req.Header.Set("Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		c.err = err
		return c
	}
	defer func() { _ = resp.Body.Close() }()
	c.status, c.signed = resp.StatusCode, resp.Header.Get("Response-Signature") != ""
	data, err := io.ReadAll(resp.Body)
	c.whole, c.err, c.body = err == nil, err, len(data)
	c.pieces = bytes.Count(data, []byte("id: "))
	return c
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 12 * time.Second}}
}

func (c *call) String() string {
	text := fmt.Sprintf("client %s at %s: status %d signed %v whole %v pieces %d bytes %d", c.id, c.machine, c.status, c.signed, c.whole, c.pieces, c.body)
	if c.err != nil {
		text += " error " + c.err.Error()
	}
	return text
}
