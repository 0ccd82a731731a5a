package openaihttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/uber-go/tally/v4"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/engine/openaihttp"
)

// BenchmarkReport measures one poll of a load report on a reused connection, for several numbers of artifacts in the
// report. It reports the bytes in both directions and the time of client and engine together.
func BenchmarkReport(b *testing.B) {
	for _, artifacts := range []int{1, 5, 10, 20} {
		b.Run(fmt.Sprintf("artifacts=%d", artifacts), func(b *testing.B) { benchmarkReport(b, artifacts) })
	}
}

func benchmarkReport(b *testing.B, artifacts int) {
	memory := standin.NewMemory([]int64{80 << 30, 80 << 30}, "3f9c2a1be7d04586", true)
	var loaded []engine.LoadedArtifact
	for i := range artifacts {
		loaded = append(loaded, engine.LoadedArtifact{
			Artifact:            engine.Artifact{Kind: engine.KindModel, Name: fmt.Sprintf("organisation-model-%04d", i), Version: "3"},
			State:               engine.StateLoaded,
			Accelerators:        []int{i % 2},
			BytesPerAccelerator: 8 << 30,
			OrderID:             fmt.Sprintf("6f0c9a52-77a1-4f0a-9d5e-%012d", i),
		})
	}
	memory.Preload(loaded)
	e := standin.New(standin.Options{Memory: memory})
	url, err := e.Start()
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	var byteCount atomic.Int64
	address, stop := startCountingForwarder(b, url[len("http://"):], &byteCount)
	defer stop()
	client := openaihttp.New(openaihttp.Options{Scope: tally.NoopScope})
	defer client.Close()
	target := engine.Target{Name: "e", URL: "http://" + address}
	poll := func() {
		report, err := client.Report(context.Background(), target)
		if err != nil || len(report.Artifacts) != artifacts {
			b.Fatal(report, err)
		}
	}
	poll()
	byteCount.Store(0)
	for b.Loop() {
		poll()
	}
	b.ReportMetric(float64(byteCount.Load())/float64(b.N), "wire-B/op")
}

// startCountingForwarder forwards connections to the target and counts the bytes in both directions. It returns its
// address and a function that stops it.
func startCountingForwarder(b *testing.B, target string, byteCount *atomic.Int64) (string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go forward(client, server, byteCount)
			go forward(server, client, byteCount)
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close() }
}

func forward(dst io.WriteCloser, src io.Reader, byteCount *atomic.Int64) {
	defer func() { _ = dst.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		byteCount.Add(int64(n))
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
