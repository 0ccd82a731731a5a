package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// clientFrom returns a client that connects from the loopback address.
func clientFrom(ip string) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
	}}
}

// Guards against a link that loses the end of a response on close, ignores a partition or does not count its bytes.
// Measurements over such a link would be wrong.
func TestLinkCarriesWholeResponsesAndHonoursPartitions(t *testing.T) {
	pipe := NewPipe(1 << 40)
	network := NewNetwork(
		func(from, to string) Path {
			if from == to {
				return Path{}
			}
			return Path{Latency: time.Microsecond, Pipe: pipe}
		},
		func(a net.Addr) string { return a.(*net.TCPAddr).IP.String() },
	)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const size = 300 << 10
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})}
	go func() { _ = server.Serve(network.Listen(inner, "127.0.0.1")) }()
	defer server.Close()

	get := func() (int, error) {
		response, err := clientFrom("127.0.0.2").Get("http://" + inner.Addr().String())
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return len(body), err
	}
	if n, err := get(); err != nil || n != size {
		t.Fatalf("got %d bytes and error %v, want %d bytes", n, err, size)
	}
	if pipe.Bytes() < size {
		t.Fatalf("pipe counted %d bytes, want at least %d", pipe.Bytes(), size)
	}
	network.SetPartition("127.0.0.1", "127.0.0.2", true)
	if _, err := get(); err == nil {
		t.Fatal("request crossed a partition")
	}
	network.SetPartition("127.0.0.1", "127.0.0.2", false)
	if n, err := get(); err != nil || n != size {
		t.Fatalf("after the partition: got %d bytes and error %v", n, err)
	}
}
