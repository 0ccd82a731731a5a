package etcdgateway_test

import (
	"context"
	"crypto/tls"
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

// closedPort returns the URL of a port on which nothing listens.
func closedPort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	return "http://" + listener.Addr().String()
}

// breaking returns the URL of a server that reads some bytes of each request and closes the connection.
func breaking() (url string, requests func() int) {
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

var _ = Describe("Client", func() {
	var ctx context.Context
	var back *kv.Memory
	BeforeEach(func() {
		ctx = context.Background()
		back = kv.NewMemory()
	})

	It("sends a write to the next URL when the first refuses the connection", func() {
		client := newClient(nil, time.Minute, closedPort(), serve(back, false))
		commit(ctx, client, create("a", "1"))
		_, _, err := client.Grant(ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
	})

	It("reports unavailable when no URL accepts a connection", func() {
		client := newClient(nil, time.Minute, closedPort(), closedPort())
		for _, call := range calls(ctx, client) {
			Expect(call()).To(MatchError(kvstore.ErrUnavailable))
		}
	})

	It("never sends a write twice once bytes of it may have left", func() {
		url, requests := breaking()
		client := newClient(nil, time.Minute, url, serve(back, false))
		_, err := client.Commit(ctx, []kvstore.ConditionalWrite{create("a", "1")})
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		Expect(back.Faults.Count(kv.CallCommit)).To(BeZero())
		Expect(requests()).To(Equal(1))
	})

	It("sends the next write to another URL after a lost reply", func() {
		url, _ := breaking()
		client := newClient(nil, time.Minute, url, serve(back, false))
		_, err := client.Commit(ctx, []kvstore.ConditionalWrite{create("a", "1")})
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		Expect(commit(ctx, client, create("a", "1"))[0].Applied).To(BeTrue())
	})

	It("tells a failed TLS handshake from a lost reply", func() {
		authority := httptest.NewTLSServer(nil)
		DeferCleanup(authority.Close)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := kv.NewServer(back)
		var wg conc.WaitGroup
		DeferCleanup(wg.Wait)
		DeferCleanup(server.Close)
		wg.Go(func() { _ = server.Serve(tls.NewListener(listener, authority.TLS)) })
		url := "https://" + listener.Addr().String()
		trusted := authority.Client().Transport.(*http.Transport).TLSClientConfig
		client, err := etcdgateway.New(etcdgateway.Options{URLs: []string{url}, TLS: trusted, Timeout: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		commit(ctx, client, create("a", "1"))
		back.Faults.Next(kv.CallCommit, kv.Fault{DropReply: true})
		_, err = client.Commit(ctx, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		_, err = newClient(nil, time.Minute, url).Commit(ctx, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
	})

	It("repeats a read at the next URL", func() {
		url, _ := breaking()
		client := newClient(nil, time.Minute, url, serve(back, false))
		_, found, _, err := client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
	})

	It("does not resend a write on a reused connection that the server closed", func() {
		client := newClient(nil, time.Minute, serve(back, false))
		commit(ctx, client, create("a", "1"))
		back.Faults.Next(kv.CallCommit, kv.Fault{DropReply: true})
		_, err := client.Commit(ctx, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		Expect(back.Faults.Count(kv.CallCommit)).To(Equal(2))
	})

	It("reports an unknown outcome when the time for a sent write is up", func() {
		client := newClient(nil, 50*time.Millisecond, serve(back, false))
		back.Faults.Next(kv.CallCommit, kv.Fault{Delay: time.Hour})
		_, err := client.Commit(ctx, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		back.Faults.Next(kv.CallGet, kv.Fault{Delay: time.Hour})
		_, _, _, err = client.Get(ctx, "a")
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
	})

	It("sends nothing for a context that has ended", func() {
		client := newClient(nil, time.Minute, serve(back, false))
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err := client.Commit(ended, []kvstore.ConditionalWrite{put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
		Expect(back.Faults.Count(kv.CallCommit)).To(BeZero())
	})

	It("counts calls by result and pending watches", func() {
		scope := tally.NewTestScope("", nil)
		client := newClient(scope, time.Minute, serve(back, false))
		commit(ctx, client, put("a", "1"))
		back.Faults.Next(kv.CallCommit, kv.Fault{Refuse: true})
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
