package edge

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// ownAnswer is an answer of this system, never of an endpoint. It has no endpoint's signature.
type ownAnswer struct {
	status int
	// retryAfter is when the request can be served; zero leaves the header out.
	retryAfter time.Duration
	close      bool
}

// writeOwn writes an answer without a body.
func (c *clientConn) writeOwn(a ownAnswer) error {
	var header fasthttp.ResponseHeader
	header.SetNoDefaultContentType(true)
	header.SetStatusCode(a.status)
	header.SetContentLength(0)
	if a.retryAfter > 0 {
		header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if a.close {
		header.SetConnectionClose()
	}
	if _, err := c.writer.Write(header.Header()); err != nil {
		return err
	}
	return c.writer.Flush()
}

// hopHeaders of a response concern the endpoint's connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Trailer", "Upgrade"}

// cleanReplyHeader removes what concerns the connection to the endpoint.
func cleanReplyHeader(h *fasthttp.ResponseHeader, closing bool) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.ResetConnectionClose()
	if closing {
		h.SetConnectionClose()
	}
}

// writeReply writes an endpoint's complete response.
func (c *clientConn) writeReply(resp *fasthttp.Response, closing bool) error {
	cleanReplyHeader(&resp.Header, closing)
	if !resp.SkipBody {
		resp.Header.SetContentLength(len(resp.Body()))
	}
	if err := resp.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// writeStreamHeader writes the header of a stream that is sent in chunks.
func (c *clientConn) writeStreamHeader(h *fasthttp.ResponseHeader, closing bool) error {
	cleanReplyHeader(h, closing)
	h.SetContentLength(-1)
	if _, err := c.writer.Write(h.Header()); err != nil {
		return err
	}
	return c.writer.Flush()
}

// writeChunk writes one chunk and sends it.
func (c *clientConn) writeChunk(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := c.writer.WriteString(strconv.FormatInt(int64(len(data)), 16) + "\r\n"); err != nil {
		return err
	}
	if _, err := c.writer.Write(data); err != nil {
		return err
	}
	if _, err := c.writer.WriteString("\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}

// writeLastChunk ends a stream that is complete.
func (c *clientConn) writeLastChunk() error {
	if _, err := c.writer.WriteString("0\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}
