package configsync_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/mulberryglade/mulberryglade/pkg/configsync"
)

// Guards against a relay that says nothing about a store that does not answer, and against a warning about a read that
// ended because the instance is no relay any more.
func TestSilentStoreIsLogged(t *testing.T) {
	const message = "configuration could not be read from the store"
	inWorld(t, func(w *world) {
		w.apply(1)
		w.store.Faults.SetLatency(time.Hour)
		core, logs := observer.New(zap.WarnLevel)
		s := configsync.New(configsync.Options{Store: w.store, Prefix: "p/", Peers: w, Log: zap.New(core)})
		go s.Run(w.ctx)
		s.SetRelay(true)
		w.sleep(time.Millisecond)
		s.SetRelay(false)
		w.sleep(time.Minute)
		w.Expect(logs.FilterMessage(message).Len()).To(gomega.BeZero())
		s.SetRelay(true)
		w.sleep(time.Minute)
		w.Expect(logs.FilterMessage(message).Len()).To(gomega.BeNumerically(">", 0))
	})
}
