package httpconn_test

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

// newLingeringServer answers the first bytes of each connection with a response and then waits until its peer has closed the
// connection, which it tells.
func newLingeringServer(response string) (url string, closed <-chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	ends := make(chan struct{}, 16)
	serve := func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = conn.Write([]byte(response))
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		ends <- struct{}{}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + listener.Addr().String(), ends
}

// Guards against a broken response that is returned as a response, a connection that stays open after it, and a cause that no
// metric and no log line names. The options are those of all calls of mulberrygladed and of the control calls of
// mulberryglade-edged.
var _ = DescribeTable("A broken response",
	func(response, cause string, want error) {
		scope := tally.NewTestScope("", nil)
		core, logs := observer.New(zap.InfoLevel)
		pool := httpconn.NewPool(httpconn.Options{IdleTimeout: time.Minute, Rejections: httpconn.NewRejections(scope, zap.New(core))})
		DeferCleanup(pool.Close)
		url, closed := newLingeringServer(response)
		_, err := do(context.Background(), pool, "GET", url)
		Expect(err).To(MatchError(want))
		Eventually(closed).WithTimeout(time.Minute).Should(Receive())
		readStream(pool, url)
		Eventually(closed).WithTimeout(time.Minute).Should(Receive())
		Expect(scope.Snapshot().Counters()["rejected_responses+cause="+cause].Value()).To(BeEquivalentTo(2))
		// The second rejection for the same cause comes within a second, and is counted by the next line.
		lines := logs.FilterMessage("response rejected: not whole or not well-formed").All()
		Expect(lines).To(HaveLen(1))
		Expect(lines[0].ContextMap()).To(HaveKeyWithValue("cause", cause))
		Expect(lines[0].ContextMap()).To(HaveKeyWithValue("address", url))
	},
	Entry("status 000", "HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\na", "status_line", engine.ErrConnectionLost),
	Entry("a blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 1\r\n\r\na", "field_name", engine.ErrConnectionLost),
	Entry("a control byte in a name", "HTTP/1.1 200 OK\r\nX\x02Y: z\r\nContent-Length: 1\r\n\r\na", "field_name", engine.ErrConnectionLost),
	Entry("a control byte in a value", "HTTP/1.1 200 OK\r\nX: \x02\r\nContent-Length: 1\r\n\r\na", "field_value", engine.ErrConnectionLost),
	Entry("a line feed alone", "HTTP/1.1 200 OK\r\nContent-Length: 1\n\r\na", "line_end", engine.ErrConnectionLost),
	Entry("a length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "framing", engine.ErrConnectionLost),
	Entry("a malformed chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;\r\na\r\n0\r\n\r\n", "chunk", engine.ErrTruncated),
	Entry("a malformed trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: z\r\n\r\n", "field_name", engine.ErrTruncated),
)

// readStream opens a response as a stream and expects that it fails before its end.
func readStream(pool *httpconn.Pool, url string) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(url + "/x")
	body, err := pool.Open(context.Background(), url, time.Now().Add(time.Minute), req, resp)
	if err == nil {
		_, err = io.ReadAll(body)
		body.Close()
	}
	Expect(err).To(MatchError(engine.ErrConnectionLost))
}

// Guards against a deadline, or an endpoint that has ended, being counted as a broken response.
var _ = Describe("A response that never begins", func() {
	It("is not counted as broken", func() {
		scope := tally.NewTestScope("", nil)
		pool := httpconn.NewPool(httpconn.Options{Rejections: httpconn.NewRejections(scope, zap.NewNop())})
		DeferCleanup(pool.Close)
		_, err := do(context.Background(), pool, "GET", newRawServer("").url())
		Expect(err).To(MatchError(engine.ErrConnectionLost))
		url, _ := newLingeringServer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI(url + "/x")
		err = pool.Do(context.Background(), url, time.Now().Add(200*time.Millisecond), req, resp, maxBytes)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(scope.Snapshot().Counters()).To(BeEmpty())
	})
})
