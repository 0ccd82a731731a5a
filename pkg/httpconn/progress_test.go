package httpconn_test

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

// servePieces answers one request with a response of 100 bytes a piece, with a pause before each. Unless it is complete, one
// more byte is announced than follows.
func servePieces(pieces int, pause time.Duration, complete bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		length := pieces * 100
		if !complete {
			length++
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"))
		for range pieces {
			time.Sleep(pause)
			if _, err := conn.Write([]byte(strings.Repeat("x", 100))); err != nil {
				return
			}
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Read(make([]byte, 1))
	}()
	return "http://" + listener.Addr().String()
}

var _ = Describe("DoProgressing", func() {
	const begins, idle = 300 * time.Millisecond, 2 * time.Second
	call := func(ctx context.Context, url string, total time.Duration) (int, error) {
		pool := httpconn.NewPool(httpconn.Options{})
		DeferCleanup(pool.Close)
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI(url + "/x")
		now := time.Now()
		err := pool.DoProgressing(ctx, url, now.Add(begins), httpconn.Progress{Idle: idle, End: now.Add(total)}, req, resp, maxBytes)
		return len(resp.Body()), err
	}

	// Guards against a slow but sound response that is cut off and requested again from its beginning.
	It("reads a response for as long as its bytes arrive", func() {
		n, err := call(context.Background(), servePieces(20, 50*time.Millisecond, true), time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(2000))
	})

	// Guards against a response that never ends because a byte arrives now and then.
	It("ends at the total time although bytes arrive", func() {
		_, err := call(context.Background(), servePieces(1000, 20*time.Millisecond, true), 600*time.Millisecond)
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})

	// Guards against waiting the total time for a response that has stalled.
	It("ends after the idle time", func() {
		_, err := call(context.Background(), servePieces(1, 0, false), time.Hour)
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})

	// Guards against a byte that arrives as the call is cancelled and extends its deadline again.
	It("ends when the call is cancelled although bytes arrive", func() {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(500*time.Millisecond, cancel)
		_, err := call(ctx, servePieces(5000, time.Millisecond, true), time.Hour)
		Expect(err).To(MatchError(context.Canceled))
	})
})
