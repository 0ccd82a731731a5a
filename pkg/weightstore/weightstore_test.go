package weightstore_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/internal/standin/weights"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/weightstore"
)

var model = engine.Artifact{Kind: engine.KindModel, Name: "menu", Version: "1"}

// Guards against a failed read that returns an empty catalog, and against entries whose size is not positive.
func TestCatalog(t *testing.T) {
	noSizes := map[engine.Artifact]int64{}
	for name, test := range map[string]struct {
		fault   weights.Fault
		options weights.Options
		timeout time.Duration
		// want is nil if the call must fail.
		want map[engine.Artifact]int64
	}{
		"sizes":          {want: map[engine.Artifact]int64{model: 7 << 30}},
		"error status":   {fault: weights.Fault{Status: http.StatusInternalServerError}},
		"malformed":      {fault: weights.Fault{Body: "{"}},
		"other document": {fault: weights.Fault{Body: "{}"}},
		"no answer":      {fault: weights.Fault{Delay: time.Hour}, timeout: 50 * time.Millisecond},
		"rate limited":   {options: weights.Options{CallsPerSecond: 1e-9}},
		"zero size":      {fault: weights.Fault{Body: `{"artifacts":[{"kind":"model","name":"a","version":"1"}]}`}, want: noSizes},
		"no version":     {fault: weights.Fault{Body: `{"artifacts":[{"kind":"model","name":"a","sizeBytes":1}]}`}, want: noSizes},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := weights.NewServer(test.options)
			server.Put(model, 7<<30)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			var wg conc.WaitGroup
			wg.Go(func() { _ = server.Serve(listener) })
			defer wg.Wait()
			defer func() { _ = server.Close() }()
			timeout := time.Minute
			if test.timeout > 0 {
				timeout = test.timeout
			}
			url := "http://" + listener.Addr().String()
			client, err := weightstore.New(weightstore.Options{URLs: []string{url}, Timeout: timeout})
			g.Expect(err).NotTo(HaveOccurred())
			defer client.Close()
			if test.options.CallsPerSecond > 0 {
				// The first call uses the only token.
				_, err := client.Sizes(context.Background())
				g.Expect(err).NotTo(HaveOccurred())
			}
			server.QueueFault(test.fault)
			got, err := client.Sizes(context.Background())
			if test.want == nil {
				g.Expect(err).To(MatchError(weightstore.ErrUnavailable))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(test.want))
		})
	}
}

func runWithFakeClock(t *testing.T, test func(g *WithT)) {
	synctest.Test(t, func(t *testing.T) { test(NewWithT(t)) })
}

// Guards against loads that start faster than the configured rate.
func TestPacerRate(t *testing.T) {
	runWithFakeClock(t, func(g *WithT) {
		p := weightstore.NewPacer(2, 0)
		start := time.Now()
		for range 7 {
			_, err := p.Acquire(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(time.Since(start)).To(Equal(3 * time.Second))
		p.Set(0, 0)
		start = time.Now()
		for range 100 {
			_, err := p.Acquire(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(time.Since(start)).To(BeZero())
	})
}

// Guards against more loads in progress than the maximum, and against a slot that is lost or freed twice.
func TestPacerBound(t *testing.T) {
	runWithFakeClock(t, func(g *WithT) {
		p := weightstore.NewPacer(0, 3)
		running, maxRunning := make(chan struct{}, 100), 0
		var wg conc.WaitGroup
		start := time.Now()
		for range 30 {
			wg.Go(func() {
				release, err := p.Acquire(context.Background())
				g.Expect(err).NotTo(HaveOccurred())
				running <- struct{}{}
				time.Sleep(time.Second)
				<-running
				release()
				release()
			})
		}
		for range 20 {
			synctest.Wait()
			maxRunning = max(maxRunning, len(running))
			time.Sleep(500 * time.Millisecond)
		}
		wg.Wait()
		g.Expect(maxRunning).To(Equal(3))
		g.Expect(time.Since(start)).To(Equal(10 * time.Second))
		g.Expect(p.Running()).To(BeZero())
	})
}

// Guards against a slot that is not freed after the caller's context ended.
func TestPacerCancel(t *testing.T) {
	for name, newPacer := range map[string]func() *weightstore.Pacer{
		"waiting for a slot":   func() *weightstore.Pacer { return weightstore.NewPacer(0, 1) },
		"waiting for the rate": func() *weightstore.Pacer { return weightstore.NewPacer(0.01, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			runWithFakeClock(t, func(g *WithT) {
				pacer := newPacer()
				release, err := pacer.Acquire(context.Background())
				g.Expect(err).NotTo(HaveOccurred())
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err = pacer.Acquire(ctx)
				g.Expect(err).To(MatchError(context.DeadlineExceeded))
				g.Expect(pacer.Running()).To(Equal(1))
				release()
				_, err = pacer.Acquire(context.Background())
				g.Expect(err).NotTo(HaveOccurred())
			})
		})
	}
}

// Guards against a stand-in weight store that does not slow down above its concurrent loads, which would hide a missing
// pacer.
func TestStandInSlowsDown(t *testing.T) {
	runWithFakeClock(t, func(g *WithT) {
		server := weights.NewServer(weights.Options{ConcurrentLoads: 1, BytesPerSecond: 100})
		server.Put(model, 100)
		g.Expect(server.Load(context.Background(), engine.Artifact{})).To(MatchError(weights.ErrNotFound))
		start := time.Now()
		var wg conc.WaitGroup
		for range 3 {
			wg.Go(func() { g.Expect(server.Load(context.Background(), model)).To(Succeed()) })
		}
		wg.Wait()
		g.Expect(time.Since(start)).To(Equal(3 * time.Second))
	})
}
