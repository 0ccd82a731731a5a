package adminapi

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

// maxResponseBytes bounds the memory that a response can use; a list of 5,500 endpoints has a few megabytes.
const maxResponseBytes = 64 << 20

var (
	// ErrUnreachable means that no connection to the instance could be established; nothing took effect.
	ErrUnreachable = errors.New("the instance cannot be reached")
	// ErrNoReply means that the request may have been sent and no complete response was received; a command may have
	// taken effect.
	ErrNoReply = errors.New("no complete response from the instance")
)

// Options configure a Client.
type Options struct {
	// URL has the scheme, address and port of the admin port.
	URL string
	// Token is the operator token; empty means none.
	Token string
	// TLS is used for an https URL.
	TLS *tls.Config
	// Timeout bounds a call.
	Timeout time.Duration
}

// Client calls the admin port of one instance.
type Client struct {
	options Options
	http    *http.Client
}

// NewClient returns a client without opening a connection.
func NewClient(o Options) *Client {
	o.URL = strings.TrimRight(o.URL, "/")
	transport := &http.Transport{TLSClientConfig: o.TLS, DisableKeepAlives: true}
	return &Client{options: o, http: &http.Client{Transport: transport, Timeout: o.Timeout}}
}

// Get requests a path and decodes the response into result. Errors: ErrUnreachable, ErrNoReply, *problem.Problem.
func (c *Client) Get(ctx context.Context, path string, result any) error {
	return c.call(ctx, http.MethodGet, path, nil, result)
}

// Post sends a command and decodes the response into result. Errors: ErrUnreachable, ErrNoReply, *problem.Problem.
func (c *Client) Post(ctx context.Context, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return c.call(ctx, http.MethodPost, path, data, result)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	// NopCloser hides the reader's type, so that http.NewRequest sets no GetBody and the transport cannot send the body
	// again.
	var content io.Reader
	if body != nil {
		content = io.NopCloser(bytes.NewReader(body))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.options.URL+path, content)
	if err != nil {
		return errors.Wrap(err, "admin URL")
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Accept", "application/json")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return classifyError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(response, result)
}

// classifyError returns ErrUnreachable for a failed connection attempt and ErrNoReply for a request that the instance
// may have received.
func classifyError(err error) error {
	var operation *net.OpError
	var certificate *tls.CertificateVerificationError
	if (errors.As(err, &operation) && operation.Op == "dial") || errors.As(err, &certificate) {
		return errors.Wrapf(ErrUnreachable, "%v", err)
	}
	return errors.Wrapf(ErrNoReply, "%v", err)
}

func readResponse(response *http.Response, result any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(ErrNoReply, "%v", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return problemOf(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return errors.Wrapf(ErrNoReply, "status %d: %v", response.StatusCode, err)
	}
	return nil
}

func problemOf(status int, data []byte) error {
	var p problem.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Type == "" {
		return problem.New(problem.TypeInternal, status, problem.Unknown, fmt.Sprintf("The instance answered with status %d.", status))
	}
	return &p
}
