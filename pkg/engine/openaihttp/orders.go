package openaihttp

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

// defaultOrderTimeout bounds an order when the context has no deadline; loading a large model takes minutes.
const defaultOrderTimeout = 15 * time.Minute

// orderDialTimeout bounds the time to connect an order session.
const orderDialTimeout = time.Second

// Codes in the JSON reply to a rejected order, which has status 409.
const (
	CodeStaleFencingToken = "stale_fencing_number"
	CodeRejected          = "rejected"
)

// OrderReply is the JSON body of the reply to an order.
type OrderReply struct {
	OrderID     string `json:"orderId"`
	Incarnation string `json:"incarnation"`
	Code        string `json:"code,omitempty"`
	Detail      string `json:"detail,omitempty"`
}

// session implements engine.OrderSession.
type session struct {
	target      engine.Target
	conn        *httpconn.Conn
	incarnation string
	closed      bool
}

// DialOrders implements engine.OrderDialer.
func (c *Client) DialOrders(ctx context.Context, target engine.Target) (engine.OrderSession, error) {
	conn, err := c.options.Connections.Dial(ctx, target.URL, orderDialTimeout)
	if err != nil {
		return nil, err
	}
	s := &session{target: target, conn: conn}
	report, err := s.Report(ctx)
	if err != nil {
		s.Close()
		return nil, err
	}
	if report.Incarnation == "" {
		s.Close()
		return nil, errors.Wrap(engine.ErrSessionClosed, "engine reports no incarnation")
	}
	s.incarnation = report.Incarnation
	return s, nil
}

// Incarnation implements engine.OrderSession.
func (s *session) Incarnation() string {
	return s.incarnation
}

// Report implements engine.OrderSession.
func (s *session) Report(ctx context.Context) (engine.Report, error) {
	status, body, err := s.roundTrip(ctx, fasthttp.MethodGet, PathReport, nil, controlDeadline(ctx))
	if err != nil {
		return engine.Report{}, s.closeWithError(err)
	}
	var report engine.Report
	if err := json.Unmarshal(body, &report); err != nil || status != fasthttp.StatusOK {
		return engine.Report{}, s.closeWithError(errors.Newf("report with status %d is not usable", status))
	}
	// A connection belongs to one engine process. Another incarnation means that an intermediary redirects connections.
	if s.incarnation != "" && report.Incarnation != s.incarnation {
		return engine.Report{}, s.closeWithError(errors.Newf("incarnation changed to %q", report.Incarnation))
	}
	return report, nil
}

// Send implements engine.OrderSession.
func (s *session) Send(ctx context.Context, order engine.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrapf(engine.ErrNotSent, "encode order: %v", err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultOrderTimeout)
	}
	status, replyBody, err := s.roundTrip(ctx, fasthttp.MethodPost, PathOrders, body, deadline)
	switch {
	case errors.Is(err, engine.ErrNotSent), isContextError(err):
		s.Close()
		return err
	case err != nil:
		return s.closeWithError(err)
	}
	var reply OrderReply
	if err := json.Unmarshal(replyBody, &reply); err != nil {
		return s.closeWithError(errors.Newf("order reply with status %d is not JSON", status))
	}
	return s.checkReply(order, status, reply)
}

// checkReply accepts only a reply to this order from this incarnation. Any other reply leaves the outcome unknown.
func (s *session) checkReply(order engine.Order, status int, reply OrderReply) error {
	if reply.OrderID != order.ID || reply.Incarnation != s.incarnation {
		return s.closeWithError(errors.Newf("reply belongs to order %q of incarnation %q", reply.OrderID, reply.Incarnation))
	}
	switch {
	case status == fasthttp.StatusOK:
		return nil
	case status == fasthttp.StatusConflict && reply.Code == CodeStaleFencingToken:
		return errors.Wrap(engine.ErrStaleFencingToken, reply.Detail)
	case status == fasthttp.StatusConflict && reply.Code == CodeRejected:
		return errors.Wrap(engine.ErrOrderRejected, reply.Detail)
	}
	return s.closeWithError(errors.Newf("order reply has status %d and code %q", status, reply.Code))
}

// roundTrip sends one request on the connection of the session. A reply with "Connection: close" is valid, but closes
// the session.
func (s *session) roundTrip(ctx context.Context, method, path string, body []byte, deadline time.Time) (int, []byte, error) {
	if s.closed {
		return 0, nil, errors.Wrap(engine.ErrNotSent, "session is closed")
	}
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	fillRequest(req, method, s.target, path, body)
	if err := s.conn.Do(ctx, deadline, req, resp, maxReportBytes); err != nil {
		return 0, nil, err
	}
	if resp.ConnectionClose() {
		s.Close()
	}
	return resp.StatusCode(), resp.Body(), nil
}

// closeWithError closes the session and returns engine.ErrSessionClosed with the cause.
func (s *session) closeWithError(cause error) error {
	s.Close()
	return errors.Wrapf(engine.ErrSessionClosed, "%v", cause)
}

// Close implements engine.OrderSession.
func (s *session) Close() {
	s.closed = true
	s.conn.Close()
}
