package edge

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// ownResponse is a response that the instance creates itself. It has no endpoint's signature.
type ownResponse struct {
	status int
	// retryAfter is the value of the Retry-After header; zero omits the header.
	retryAfter time.Duration
	// closeAfter is set if the connection is to be closed after the response.
	closeAfter bool
}

// writeOwnResponse writes an ownResponse, which has no body.
func (c *clientConn) writeOwnResponse(response ownResponse) error {
	var header fasthttp.ResponseHeader
	header.SetNoDefaultContentType(true)
	header.SetStatusCode(response.status)
	header.SetContentLength(0)
	if response.retryAfter > 0 {
		header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(response.retryAfter.Seconds(), 'f', 3, 64))
	}
	if response.closeAfter {
		header.SetConnectionClose()
	}
	if _, err := c.Writer().Write(header.Header()); err != nil {
		return err
	}
	return c.Flush()
}

// hopByHopHeaders are response headers that only concern the connection to the endpoint.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Trailer", "Upgrade"}

// protocolVersion is the version of all responses to clients, whatever that of the endpoint's response (RFC 9110, section 6.2).
// A client does not look for chunks in a response of HTTP/1.0.
var protocolVersion = []byte("HTTP/1.1")

// prepareResponseHeader replaces the version and the headers for the endpoint's connection by those for the client's
// connection. With closeAfter, they announce that the connection is closed after the response.
func prepareResponseHeader(h *fasthttp.ResponseHeader, closeAfter bool) {
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.SetProtocol(protocolVersion)
	h.ResetConnectionClose()
	if closeAfter {
		h.SetConnectionClose()
	}
}

// writeResponse writes a complete response of an endpoint.
func (c *clientConn) writeResponse(resp *fasthttp.Response, closeAfter bool) error {
	prepareResponseHeader(&resp.Header, closeAfter)
	if !resp.SkipBody {
		resp.Header.SetContentLength(len(resp.Body()))
	}
	if err := resp.Write(c.Writer()); err != nil {
		return err
	}
	return c.Flush()
}

// writeStreamHeader writes the header of a chunked response.
func (c *clientConn) writeStreamHeader(h *fasthttp.ResponseHeader, closeAfter bool) error {
	prepareResponseHeader(h, closeAfter)
	h.SetContentLength(-1)
	if _, err := c.Writer().Write(h.Header()); err != nil {
		return err
	}
	return c.Flush()
}

// writeChunk writes and flushes one chunk. Empty data is skipped, because an empty chunk ends the response.
func (c *clientConn) writeChunk(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := c.Writer().WriteString(strconv.FormatInt(int64(len(data)), 16) + "\r\n"); err != nil {
		return err
	}
	if _, err := c.Writer().Write(data); err != nil {
		return err
	}
	if _, err := c.Writer().WriteString("\r\n"); err != nil {
		return err
	}
	return c.Flush()
}

// writeLastChunk ends a chunked response.
func (c *clientConn) writeLastChunk() error {
	if _, err := c.Writer().WriteString("0\r\n\r\n"); err != nil {
		return err
	}
	return c.Flush()
}
