package httpconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

func TestHTTPConn(t *testing.T) {
	testkit.RunSpecs(t, "httpconn")
}

const maxBytes = 1 << 20

// rawServer replies to each request on a connection with the next of the given byte strings and closes the connection
// after the last one. It counts the requests that it has read.
type rawServer struct {
	listener net.Listener
	requests atomic.Int64
	closed   chan struct{}
}

func newRawServer(replies ...string) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &rawServer{listener: listener, closed: make(chan struct{}, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn, replies)
		}
	}()
	DeferCleanup(func() { _ = listener.Close() })
	return server
}

func (s *rawServer) serve(conn net.Conn, replies []string) {
	reader := bufio.NewReader(conn)
	for _, reply := range replies {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		_ = request.Body.Close()
		s.requests.Add(1)
		_, _ = conn.Write([]byte(reply))
	}
	_ = conn.Close()
	s.closed <- struct{}{}
}

func (s *rawServer) url() string { return "http://" + s.listener.Addr().String() }

func do(ctx context.Context, pool *httpconn.Pool, method, url string) (*fasthttp.Response, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(url + "/x")
	req.Header.SetMethod(method)
	return resp, pool.Do(ctx, url, time.Now().Add(time.Minute), req, resp, maxBytes)
}

var _ = Describe("Pool", func() {
	var pool *httpconn.Pool
	BeforeEach(func() {
		pool = httpconn.NewPool(httpconn.Options{IdleTimeout: time.Minute})
		DeferCleanup(pool.Close)
	})

	// Guards against a hidden retry, in particular of methods that HTTP defines as idempotent, and against an error that
	// lets a dispatcher report not_run for a request that was read.
	DescribeTable("writes a request once",
		func(method, reply string, want error) {
			server := newRawServer(reply)
			_, err := do(context.Background(), pool, method, server.url())
			Expect(err).To(MatchError(want))
			Expect(server.requests.Load()).To(BeEquivalentTo(1))
		},
		Entry("GET, closed without a byte", "GET", "", engine.ErrConnectionLost),
		Entry("POST, closed without a byte", "POST", "", engine.ErrConnectionLost),
		Entry("PUT, closed in the header", "PUT", "HTTP/1.1 200 OK\r\nContent-", engine.ErrConnectionLost),
		Entry("GET, not HTTP", "GET", "hello\r\n\r\n", engine.ErrConnectionLost),
		Entry("GET, body short of its length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", engine.ErrTruncated),
		Entry("GET, last chunk missing", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", engine.ErrTruncated),
		Entry("GET, length unknown", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", engine.ErrTruncated),
		Entry("GET, body too large", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n"+strings.Repeat("a", 2000000), engine.ErrTruncated),
	)

	// Guards against reporting that a request may have run when the connection was refused.
	It("reports a refused connection as not sent", func() {
		server := newRawServer()
		Expect(server.listener.Close()).To(Succeed())
		_, err := do(context.Background(), pool, "GET", server.url())
		Expect(err).To(MatchError(engine.ErrNotSent))
	})

	// Guards against waiting for the response to a cancelled request, and against reporting its outcome as known.
	It("ends with the context's error once bytes were written", func() {
		ctx, cancel := context.WithCancel(context.Background())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		go func() {
			conn, _ := listener.Accept()
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			cancel()
		}()
		_, err = do(ctx, pool, "POST", "http://"+listener.Addr().String())
		Expect(err).To(MatchError(context.Canceled))
		_, err = do(ctx, pool, "POST", "http://"+listener.Addr().String())
		Expect(err).To(MatchError(engine.ErrNotSent))
	})

	// Guards against reporting an expired deadline as a broken connection, whichever part of the response is missing.
	DescribeTable("ends at the deadline", func(partialResponse string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				_, _ = conn.Write([]byte(partialResponse))
				_, _ = io.Copy(io.Discard, conn)
			}
		}()
		url := "http://" + listener.Addr().String()
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI(url + "/x")
		err = pool.Do(context.Background(), url, time.Now().Add(200*time.Millisecond), req, resp, maxBytes)
		Expect(err).To(MatchError(context.DeadlineExceeded))
	},
		Entry("before the header", ""),
		Entry("in the header", "HTTP/1.1 200 OK\r\nContent-"),
		Entry("in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
		Entry("in a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc"))

	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"

	// Guards against an unsolicited or late response being returned for the next request.
	It("closes a connection with bytes that belong to no request", func() {
		server := newRawServer(ok+"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nB", ok)
		for range 2 {
			resp, err := do(context.Background(), pool, "GET", server.url())
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body())).To(Equal("a"))
		}
		Expect(pool.UnsolicitedResponses()).To(BeNumerically(">", 0))
	})

	// Guards against sending a request on an idle connection that the endpoint has closed.
	It("does not reuse a connection that the endpoint closed", func() {
		server := newRawServer(ok)
		for range 3 {
			_, err := do(context.Background(), pool, "GET", server.url())
			Expect(err).NotTo(HaveOccurred())
			<-server.closed
		}
		Expect(server.requests.Load()).To(BeEquivalentTo(3))
	})
})
