package instancelist_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/standin/instances"
	"github.com/mulberryglade/mulberryglade/pkg/instancelist"
)

// BenchmarkList measures one read of the list over loopback for several numbers of entries: the time of client and
// server, and the size of the response.
func BenchmarkList(b *testing.B) {
	for _, size := range []int{50, 500, 2000, 6000} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			server := instances.NewServer()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			counted := &countingListener{Listener: listener}
			go func() { _ = server.Serve(counted) }()
			defer func() { _ = server.Close() }()
			var list []instancelist.Instance
			for i := range size {
				list = append(list, newInstance(fmt.Sprintf("endpoint-%04d", i), instancelist.StateLive))
			}
			server.Set(list...)
			client, err := instancelist.New(instancelist.Options{URLs: []string{"http://" + listener.Addr().String()}, Timeout: time.Minute})
			if err != nil {
				b.Fatal(err)
			}
			defer client.Close()
			for b.Loop() {
				got, err := client.List(context.Background())
				if err != nil || len(got) != size {
					b.Fatal(len(got), err)
				}
			}
			b.ReportMetric(float64(counted.written.Load())/float64(b.N), "response-B/op")
		})
	}
}

// countingListener counts the bytes written to its connections.
type countingListener struct {
	net.Listener
	written atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, written: &l.written}, err
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}
