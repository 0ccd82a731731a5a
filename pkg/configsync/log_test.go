package configsync_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/mulberryglade/mulberryglade/pkg/configsync"
)

// Guards against a relay that does not log an unresponsive store, and against a warning about a read that was cancelled
// because the instance is no longer a relay.
func TestUnresponsiveStoreIsLogged(t *testing.T) {
	const message = "configuration could not be read from the store"
	runCluster(t, func(c *cluster) {
		c.apply(1)
		c.store.Faults.SetLatency(time.Hour)
		core, logs := observer.New(zap.WarnLevel)
		s := configsync.New(configsync.Options{Store: c.store, Prefix: "p/", Peers: c, Log: zap.New(core)})
		go s.Run(c.ctx)
		s.SetRelay(true)
		c.sleep(time.Millisecond)
		s.SetRelay(false)
		c.sleep(time.Minute)
		c.Expect(logs.FilterMessage(message).Len()).To(gomega.BeZero())
		s.SetRelay(true)
		c.sleep(time.Minute)
		c.Expect(logs.FilterMessage(message).Len()).To(gomega.BeNumerically(">", 0))
	})
}
