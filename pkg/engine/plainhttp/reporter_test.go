package plainhttp_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/standin/service"
	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/engine/plainhttp"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

func TestPlainHTTP(t *testing.T) {
	testkit.RunSpecs(t, "plainhttp")
}

var _ = Describe("Reporter", func() {
	// Guards against a load report that loses a field, and against reporting an unreachable service as idle.
	It("reads the load of a service", func() {
		standin := service.New(service.Options{MaxRunning: 7, Incarnation: "i1"})
		url, err := standin.Start()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(standin.Close)
		reporter := plainhttp.NewReporter(httpconn.Options{})
		DeferCleanup(reporter.Close)
		standin.SetLeaving(true)
		target := engine.Target{Name: "s1", URL: url}
		report, err := reporter.Report(context.Background(), target)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).To(Equal(engine.Report{Incarnation: "i1", MaxRunning: 7, Leaving: true}))
		standin.Down()
		_, err = reporter.Report(context.Background(), target)
		Expect(err).To(HaveOccurred())
	})
})
