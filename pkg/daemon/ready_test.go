package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/examples"
	"github.com/mulberryglade/mulberryglade/internal/testbed"
)

// receiveTimeout only ends a hanging test.
const receiveTimeout = 40 * time.Second

// Guards against an instance that is ready, and refuses calls, because it has received its configuration but has not
// applied it to admission yet.
func TestReadyOnlyOnceTheConfigurationIsApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	bed, err := testbed.Start(testbed.Options{Declarations: examples.Files, Folder: "sindhuli"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer bed.Close()
	g.Expect(bed.Apply(context.Background(), "initial")).To(gomega.Succeed())
	s := bed.Settings("first", "kathmandu-a", "127.0.0.1")
	s.Shutdown.GraceMs = 0
	d, err := New(s, zap.NewNop())
	g.Expect(err).NotTo(gomega.HaveOccurred())

	ctx, cancel := context.WithCancel(context.Background())
	var syncing conc.WaitGroup
	defer syncing.Wait()
	defer cancel()
	d.syncer.SetRelay(true)
	syncing.Go(func() { d.syncer.Run(ctx) })
	g.Eventually(d.syncer.Current).WithTimeout(receiveTimeout).ShouldNot(gomega.BeNil())
	g.Expect(d.Ready()).To(gomega.MatchError(errNoConfiguration))
	d.apply(d.syncer.Current())
	g.Expect(d.Ready()).To(gomega.Succeed())
}
