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

// BenchmarkReport measures one poll of a load report on a kept connection: bytes in both directions, and time of both
// sides, against the artifacts that the engine holds.
func BenchmarkReport(b *testing.B) {
	for _, artifacts := range []int{1, 5, 10, 20} {
		b.Run(fmt.Sprintf("artifacts=%d", artifacts), func(b *testing.B) { benchmarkReport(b, artifacts) })
	}
}

func benchmarkReport(b *testing.B, artifacts int) {
	memory := standin.NewMemory([]int64{80 << 30, 80 << 30}, "3f9c2a1be7d04586", true)
	var held []engine.LoadedArtifact
	for i := range artifacts {
		held = append(held, engine.LoadedArtifact{
			Artifact:            engine.Artifact{Kind: engine.KindModel, Name: fmt.Sprintf("organisation-model-%04d", i), Version: "3"},
			State:               engine.StateLoaded,
			Accelerators:        []int{i % 2},
			BytesPerAccelerator: 8 << 30,
			OrderID:             fmt.Sprintf("6f0c9a52-77a1-4f0a-9d5e-%012d", i),
		})
	}
	memory.Preload(held)
	e := standin.New(standin.Options{Memory: memory})
	url, err := e.Start()
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	var bytes atomic.Int64
	address, stop := countingForwarder(b, url[len("http://"):], &bytes)
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
	bytes.Store(0)
	for b.Loop() {
		poll()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// countingForwarder forwards one connection after another and counts the bytes of both directions.
func countingForwarder(b *testing.B, to string, bytes *atomic.Int64) (string, func()) {
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
			server, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go forward(client, server, bytes)
			go forward(server, client, bytes)
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close() }
}

func forward(to io.WriteCloser, from io.Reader, bytes *atomic.Int64) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		bytes.Add(int64(n))
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
