package etcdgateway_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore/etcdgateway"
)

// refusingURL returns the URL of a port on which nothing listens.
func refusingURL() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	return "http://" + listener.Addr().String()
}

// startBreakingServer returns the URL of a server that reads some bytes of each request and closes the connection.
func startBreakingServer() (url string, requests func() int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var wg conc.WaitGroup
	count := 0
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 16))
			count++
			_ = conn.Close()
		}
	})
	stop := func() {
		_ = listener.Close()
		wg.Wait()
	}
	DeferCleanup(stop)
	return "http://" + listener.Addr().String(), func() int { stop(); return count }
}

// startAnsweringServer returns the URL of a server that answers each connection with the same bytes and closes it.
func startAnsweringServer(response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = conn.Write([]byte(response))
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

var _ = Describe("Client", func() {
	var ctx context.Context
	var memory *kv.Memory
	BeforeEach(func() {
		ctx = context.Background()
		memory = kv.NewMemory()
	})

	It("sends a write to the next URL when the first refuses the connection", func() {
		client := newClient(nil, time.Minute, refusingURL(), startServer(memory, false))
		commit(ctx, client, create("a", "1"))
		_, _, err := client.Grant(ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
	})

	It("reports unavailable when no URL accepts a connection", func() {
		client := newClient(nil, time.Minute, refusingURL(), refusingURL())
		for _, call := range callsOf(ctx, client) {
			Expect(call()).To(MatchError(kvstore.ErrUnavailable))
		}
	})

	It("never sends a write twice if bytes of it may have been sent", func() {
		url, requests := startBreakingServer()
		client := newClient(nil, time.Minute, url, startServer(memory, false))
		_, err := client.Commit(ctx, []kvstore.ConditionalWrite{create("a", "1")})
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		Expect(memory.Faults.Count(kv.CallCommit)).To(BeZero())
		Expect(requests()).To(Equal(1))
	})

	// Guards against a reply that is no HTTP response being taken for the store's, and against a write that is repeated or
	// reported as not done after one.
	DescribeTable("rejects a reply with a broken head",
		func(head string) {
			client := newClient(nil, time.Minute, startAnsweringServer(head+"\r\n"+`{"header":{"revision":"7"},"succeeded":true}`))
			_, _, _, err := client.Get(ctx, "a")
			Expect(err).To(MatchError(kvstore.ErrUnavailable))
			_, err = client.Commit(ctx, []kvstore.ConditionalWrite{create("a", "1")})
			Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		},
		Entry("a status of 000", "HTTP/1.1 000 OK\r\n"),
		Entry("a status of 600", "HTTP/1.1 600 OK\r\n"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\n"),
		Entry("a blank after a name", "HTTP/1.1 200 OK\r\nX-Y : z\r\n"),
		Entry("a control byte in a value", "HTTP/1.1 200 OK\r\nX-Y: \x01\r\n"),
	)

	It("sends the next write to another URL after a lost reply", func() {
		url, _ := startBreakingServer()
		client := newClient(nil, time.Minute, url, startServer(memory, false))
		_, err := client.Commit(ctx, []kvstore.ConditionalWrite{create("a", "1")})
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		Expect(commit(ctx, client, create("a", "1"))[0].Applied).To(BeTrue())
	})

	It("distinguishes a failed TLS handshake from a lost reply", func() {
		certServer := httptest.NewTLSServer(nil)
		DeferCleanup(certServer.Close)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := kv.NewServer(memory)
		var wg conc.WaitGroup
		DeferCleanup(wg.Wait)
		DeferCleanup(server.Close)
		wg.Go(func() { _ = server.Serve(tls.NewListener(listener, certServer.TLS)) })
		url := "https://" + listener.Addr().String()
		trusted := certServer.Client().Transport.(*http.Transport).TLSClientConfig
		client, err := etcdgateway.New(etcdgateway.Options{URLs: []string{url}, TLS: trusted, Timeout: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		commit(ctx, client, create("a", "1"))
		memory.Faults.Queue(kv.CallCommit, kv.Fault{DropReply: true})
		_, err = client.Commit(ctx, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		_, err = newClient(nil, time.Minute, url).Commit(ctx, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
	})

	It("retries a read at the next URL", func() {
		url, _ := startBreakingServer()
		client := newClient(nil, time.Minute, url, startServer(memory, false))
		_, found, _, err := client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
	})

	It("does not resend a write on a reused connection that the server closed", func() {
		client := newClient(nil, time.Minute, startServer(memory, false))
		commit(ctx, client, create("a", "1"))
		memory.Faults.Queue(kv.CallCommit, kv.Fault{DropReply: true})
		_, err := client.Commit(ctx, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		Expect(memory.Faults.Count(kv.CallCommit)).To(Equal(2))
	})

	It("reports an unknown outcome when a sent write times out", func() {
		client := newClient(nil, 50*time.Millisecond, startServer(memory, false))
		memory.Faults.Queue(kv.CallCommit, kv.Fault{Delay: time.Hour})
		_, err := client.Commit(ctx, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		memory.Faults.Queue(kv.CallGet, kv.Fault{Delay: time.Hour})
		_, _, _, err = client.Get(ctx, "a")
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
	})

	It("sends nothing for a context that has ended", func() {
		client := newClient(nil, time.Minute, startServer(memory, false))
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err := client.Commit(ended, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
		Expect(memory.Faults.Count(kv.CallCommit)).To(BeZero())
	})

	It("counts calls by result and pending watches", func() {
		scope := tally.NewTestScope("", nil)
		client := newClient(scope, time.Minute, startServer(memory, false))
		commit(ctx, client, put("a", "1"))
		memory.Faults.Queue(kv.CallCommit, kv.Fault{Refuse: true})
		_, err := client.Commit(ctx, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
		w, err := client.Watch(ctx, "a", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.PendingWatches()).To(BeEquivalentTo(1))
		w.Close()
		Expect(client.PendingWatches()).To(BeZero())
		counters := scope.Snapshot().Counters()
		Expect(counters["kvstore.calls+call=commit,result=ok"].Value()).To(BeEquivalentTo(1))
		Expect(counters["kvstore.calls+call=commit,result=unavailable"].Value()).To(BeEquivalentTo(1))
		Expect(counters["kvstore.calls+call=watch,result=ok"].Value()).To(BeEquivalentTo(1))
	})

	It("requires a URL", func() {
		_, err := etcdgateway.New(etcdgateway.Options{})
		Expect(err).To(HaveOccurred())
	})
})
