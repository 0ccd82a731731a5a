package gateway_test

import (
	"bytes"
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/pkg/gateway"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

// BenchmarkFirstToken measures the time to the first token of a streamed call, sent alternately to the engine and
// through gateway and dispatch. The engine adds no delay, so the difference is the overhead of gateway and dispatch.
func BenchmarkFirstToken(b *testing.B) {
	f, cleanup := startFixture(standin.Options{OutputTokens: 2}, gateway.Limits{}, nil)
	defer cleanup()
	pool := httpconn.NewPool(httpconn.Options{})
	defer pool.Close()
	body := []byte(chat(`,"stream":true`))
	var direct, viaGateway []time.Duration
	for b.Loop() {
		direct = append(direct, firstToken(b, pool, f.engineURL, body))
		viaGateway = append(viaGateway, firstToken(b, pool, f.url, body))
	}
	slices.Sort(direct)
	slices.Sort(viaGateway)
	for _, percentile := range []struct {
		name     string
		fraction float64
	}{{"p50", 0.50}, {"p95", 0.95}} {
		index := int(percentile.fraction * float64(len(direct)-1))
		directNs, gatewayNs := float64(direct[index]), float64(viaGateway[index])
		b.ReportMetric(directNs/1e3, "direct-"+percentile.name+"-us")
		b.ReportMetric((gatewayNs-directNs)/1e3, "added-"+percentile.name+"-us")
		b.ReportMetric(gatewayNs/directNs, percentile.name+"-ratio")
	}
}

func firstToken(b *testing.B, pool *httpconn.Pool, url string, body []byte) time.Duration {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(url + chatPath)
	req.Header.SetMethod("POST")
	req.Header.Set("Authorization", "Bearer "+memberKey)
	req.Header.Set("X-Request-Id", "r")
	req.SetBodyRaw(body)
	startedAt := time.Now()
	stream, err := pool.Open(context.Background(), url, startedAt.Add(time.Minute), req, resp)
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	buffer := make([]byte, 4096)
	n, err := stream.Read(buffer)
	took := time.Since(startedAt)
	if err != nil || !bytes.Contains(buffer[:n], []byte(`data: {"id"`)) {
		b.Fatalf("first read: %q, %v", buffer[:n], err)
	}
	if _, err := io.Copy(io.Discard, stream); err != nil {
		b.Fatal(err)
	}
	return took
}

// BenchmarkLargeBody measures a call with a body of 4 MB, which the service's own limit refuses after it was read.
func BenchmarkLargeBody(b *testing.B) {
	f, cleanup := startFixture(standin.Options{}, gateway.Limits{}, nil)
	defer cleanup()
	pool := httpconn.NewPool(httpconn.Options{})
	defer pool.Close()
	body := bytes.Repeat([]byte("x"), 4<<20)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI(f.url + "/v1/services/order-desk/orders")
		req.Header.SetMethod("POST")
		req.Header.Set("Authorization", "Bearer "+memberKey)
		req.SetBodyRaw(body)
		err := pool.Do(context.Background(), f.url, time.Now().Add(time.Minute), req, resp, 1<<20)
		if err != nil || resp.StatusCode() != fasthttp.StatusRequestEntityTooLarge {
			b.Fatal(err, resp.StatusCode())
		}
	}
}
