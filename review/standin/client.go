package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	Attempt, Path, Edge string
	SentAt, EndedAt     time.Time
	// Status is zero if no answer began. Complete is set if the answer's framing ended.
	Status    int
	Signature string
	Body      string
	Complete  bool
	Err       string
	Leaving   bool
	Method    string
	Sent      string
	EchoedID  string
}

// Client keeps one channel to an instance open.
type Client struct {
	edge   *Edge
	conn   net.Conn
	reader *bufio.Reader
}

var attemptCounter atomic.Int64

func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attemptCounter.Add(1)) }

// Answers collects the answers of all clients.
type Answers struct {
	mu  sync.Mutex
	all []*Answer
}

func (a *Answers) add(x *Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, x)
}

func (c *Client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends one request on the kept channel, or on a new one if there is none.
func (c *Client) do(method, path, body string, deadline time.Duration, headers ...string) *Answer {
	a := &Answer{Attempt: newAttempt(), Path: path, Edge: c.edge.name, SentAt: time.Now(), Method: method, Sent: body}
	defer func() { a.EndedAt = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.edge.callerAddress, time.Second)
		if err != nil {
			a.Err = err.Error()
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\n", method, path, a.Attempt, deadline.Milliseconds())
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		a.Err = err.Error()
		c.close()
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.Err = err.Error()
		c.close()
		return a
	}
	a.Status, a.Signature, a.Leaving = resp.StatusCode, resp.Header.Get("Response-Signature"), resp.Header.Get("Server-Leaving") == "1"
	a.EchoedID = resp.Header.Get("Attempt-Id")
	content, err := io.ReadAll(resp.Body)
	a.Body, a.Complete = string(content), err == nil
	if err != nil || resp.Close {
		c.close()
	}
	if err != nil {
		a.Err = err.Error()
	}
	if c.conn != nil && c.reader.Buffered() > 0 {
		a.Err = "bytes after the answer"
		a.Status = -1
		c.close()
	}
	return a
}
