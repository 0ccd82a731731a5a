package configsync_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/configsync"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

const deployment = `{"kind":"Deployment","name":"d","schemaVersion":1,"attainmentWeight":1,"moveWeight":1,
	"placementShards":1,"modelLoadsPerSecond":1,"concurrentModelLoads":9,"concurrentAdapterLoads":70,
	"regionLinkBitsPerSecond":30000000,"queueRequests":10,"queueBytes":1000,"retryBudgetRatio":0.1}`

// cluster is a store, a set of syncers by name, and the faults of the fetches between them.
type cluster struct {
	*gomega.WithT
	ctx     context.Context
	store   *kv.Memory
	syncers map[string]*configsync.Syncer
	// damageResponse maps a peer to a function that damages its responses. Fetches from peers in down fail.
	damageResponse map[string]func(head []byte, revision int64, bundles []configstore.Bundle) ([]byte, int64, []configstore.Bundle)
	down           map[string]bool
	changeCount    int
}

// runCluster runs a test of a cluster in virtual time.
func runCluster(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &cluster{
			WithT:          gomega.NewWithT(t),
			ctx:            ctx,
			store:          kv.NewMemory(),
			syncers:        make(map[string]*configsync.Syncer),
			down:           make(map[string]bool),
			damageResponse: make(map[string]func([]byte, int64, []configstore.Bundle) ([]byte, int64, []configstore.Bundle)),
		}
		defer synctest.Wait()
		defer cancel()
		test(c)
	})
}

func (c *cluster) start(name string) *configsync.Syncer {
	s := configsync.New(configsync.Options{Store: c.store, Prefix: "p/", Peers: c})
	c.syncers[name] = s
	go s.Run(c.ctx)
	return s
}

// Fetch implements configsync.PeerSource. It returns the configuration of the peer's syncer.
func (c *cluster) Fetch(_ context.Context, peer string, known int64, have []string) (
	[]byte, int64, []configstore.Bundle, error,
) {
	if c.down[peer] {
		return nil, 0, nil, errors.New("unreachable")
	}
	head, revision, bundles := c.syncers[peer].CurrentHead(known, have)
	if damage := c.damageResponse[peer]; damage != nil {
		head, revision, bundles = damage(head, revision, bundles)
	}
	return head, revision, bundles, nil
}

// apply sets the share of member m and returns the new revision.
func (c *cluster) apply(share int) int64 {
	c.changeCount++
	text := fmt.Sprintf(`{"schemaVersion":1,"records":[%s,{"kind":"Member","name":"m","share":%d,"keys":[]}]}`, deployment, share)
	records, found := config.ParseFile("f.json", []byte(text))
	c.Expect(found.Err()).NotTo(gomega.HaveOccurred())
	result, err := configstore.New(c.store, configstore.Options{Prefix: "p/"}).
		Apply(c.ctx, configstore.Change{ID: fmt.Sprint("c", c.changeCount), Records: records})
	c.Expect(err).NotTo(gomega.HaveOccurred())
	return result.Revision
}

func (c *cluster) memberShare(s *configsync.Syncer) float64 {
	synctest.Wait()
	if s.Current() == nil {
		return 0
	}
	return s.Current().Member("m").Share
}

func (c *cluster) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestRelayAppliesStoreChanges(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.apply(1)
		s := c.start("a")
		c.sleep(time.Second)
		c.Expect(s.Current()).To(gomega.BeNil(), "an instance that is not a relay does not read the store")
		s.SetRelay(true)
		c.Expect(c.memberShare(s)).To(gomega.Equal(1.0))
		changed := s.Changed()
		c.apply(2)
		c.Expect(c.memberShare(s)).To(gomega.Equal(2.0), "the watch must deliver without a poll")
		c.Expect(changed).To(gomega.BeClosed())
		s.SetRelay(false)
		synctest.Wait()
		c.apply(3)
		c.sleep(time.Minute)
		c.Expect(c.memberShare(s)).To(gomega.Equal(2.0))
	})
}

// Guards against a relay that keeps an old configuration after a store outage, and against one that reports store
// contact during the outage.
func TestRelayRecoversAfterStoreOutage(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.apply(1)
		s := c.start("a")
		s.SetRelay(true)
		c.Expect(c.memberShare(s)).To(gomega.Equal(1.0))
		c.sleep(time.Hour)
		c.Expect(s.StoreContactAge()).To(gomega.BeNumerically("<", 5*time.Second))
		c.store.Faults.SetDown(true)
		c.sleep(time.Hour)
		c.Expect(s.StoreContactAge()).To(gomega.BeNumerically(">=", time.Hour))
		c.Expect(c.memberShare(s)).To(gomega.Equal(1.0), "the configuration stays in effect")
		reads := c.store.Faults.Count(kv.CallGet)
		c.sleep(time.Minute)
		c.Expect(c.store.Faults.Count(kv.CallGet)-reads).To(gomega.BeNumerically("<=", 31), "the wait between retries must grow")
		c.store.Faults.SetDown(false)
		c.apply(2)
		c.sleep(5 * time.Second)
		c.Expect(c.memberShare(s)).To(gomega.Equal(2.0))
	})
}

// silentWatchStore is a store whose watches deliver nothing, as over a silently broken connection.
type silentWatchStore struct{ *kv.Memory }

type silentWatch struct{}

func (silentWatch) Next(ctx context.Context) ([]kvstore.Event, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silentWatch) Close() {}

func (silentWatchStore) Watch(context.Context, string, kvstore.Revision) (kvstore.Watch, error) {
	return silentWatch{}, nil
}

func TestRelayPollsWhenWatchDeliversNothing(t *testing.T) {
	runCluster(t, func(c *cluster) {
		s := configsync.New(configsync.Options{Store: silentWatchStore{c.store}, Prefix: "p/", Peers: c})
		go s.Run(c.ctx)
		s.SetRelay(true)
		c.sleep(time.Second)
		c.apply(1)
		c.sleep(3 * time.Second)
		c.Expect(c.memberShare(s)).To(gomega.Equal(1.0))
	})
}

func TestConfigurationIsFetchedFromPeersDuringStoreOutage(t *testing.T) {
	runCluster(t, func(c *cluster) {
		relay, s := c.start("relay"), c.start("a")
		relay.SetRelay(true)
		c.apply(1)
		revision := c.apply(2)
		c.Expect(c.memberShare(relay)).To(gomega.Equal(2.0))
		c.store.Faults.SetDown(true)
		late := c.start("late")
		late.SetRelay(true)
		s.Announce("relay", revision)
		late.Announce("relay", revision)
		c.Expect(c.memberShare(s)).To(gomega.Equal(2.0))
		c.Expect(c.memberShare(late)).To(gomega.Equal(2.0), "an instance that starts during an outage fetches from its peers")
		c.Expect(s.Revision()).To(gomega.Equal(revision))
	})
}

// Guards against an older configuration from the store or from a peer that replaces the one in effect.
func TestRevisionNeverDecreases(t *testing.T) {
	runCluster(t, func(c *cluster) {
		s, old := c.start("a"), c.start("old")
		c.apply(1)
		old.SetRelay(true)
		c.Expect(c.memberShare(old)).To(gomega.Equal(1.0))
		old.SetRelay(false)
		synctest.Wait()
		head, _, _, err := c.store.Get(c.ctx, "p/config/head")
		c.Expect(err).NotTo(gomega.HaveOccurred())
		c.apply(2)
		s.SetRelay(true)
		c.Expect(c.memberShare(s)).To(gomega.Equal(2.0))
		c.damageResponse["old"] = func([]byte, int64, []configstore.Bundle) ([]byte, int64, []configstore.Bundle) {
			return old.CurrentHead(0, nil)
		}
		s.Announce("old", old.Revision())
		s.Announce("old", s.Revision()+1)
		c.Expect(c.memberShare(s)).To(gomega.Equal(2.0))
		_, err = c.store.Commit(c.ctx, []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: head.Key, Value: head.Value}}}})
		c.Expect(err).NotTo(gomega.HaveOccurred())
		c.sleep(time.Minute)
		c.Expect(c.memberShare(s)).To(gomega.Equal(2.0))
	})
}

// Guards against accepting damaged or forged content from a peer, and against waiting for an unreachable peer.
func TestFetchSkipsFailingPeers(t *testing.T) {
	damages := map[string]func([]byte, int64, []configstore.Bundle) ([]byte, int64, []configstore.Bundle){
		"changed bundle": func(h []byte, r int64, b []configstore.Bundle) ([]byte, int64, []configstore.Bundle) {
			b[0].Content = append([]byte("\n"), b[0].Content...)
			return h, r, b
		},
		"missing bundle": func(h []byte, r int64, b []configstore.Bundle) ([]byte, int64, []configstore.Bundle) {
			return h, r, b[1:]
		},
		"damaged head": func(_ []byte, r int64, b []configstore.Bundle) ([]byte, int64, []configstore.Bundle) {
			return []byte("{"), r, b
		},
		"other revision": func(h []byte, r int64, b []configstore.Bundle) ([]byte, int64, []configstore.Bundle) {
			return h, r + 1, b
		},
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				revision := c.apply(1)
				good, bad, s := c.start("good"), c.start("bad"), c.start("a")
				good.SetRelay(true)
				bad.SetRelay(true)
				synctest.Wait()
				c.damageResponse["bad"] = damage
				s.Announce("bad", revision)
				c.sleep(time.Minute)
				c.Expect(s.Current()).To(gomega.BeNil())
				c.Expect(s.Behind()).To(gomega.Equal(time.Minute))
				c.down["gone"] = true
				s.Announce("gone", revision+1)
				s.Announce("good", revision)
				c.sleep(time.Second)
				c.Expect(c.memberShare(s)).To(gomega.Equal(1.0))
			})
		})
	}
}

func TestBehindIsZeroWhenNewestIsInEffect(t *testing.T) {
	runCluster(t, func(c *cluster) {
		s, relay := c.start("a"), c.start("relay")
		relay.SetRelay(true)
		c.down["relay"] = true
		revision := c.apply(1)
		s.Announce("relay", revision)
		c.sleep(10 * time.Second)
		c.Expect(s.Behind()).To(gomega.Equal(10 * time.Second))
		c.down["relay"] = false
		s.Announce("relay", revision)
		c.Expect(c.memberShare(s)).To(gomega.Equal(1.0))
		c.Expect(s.Behind()).To(gomega.BeZero())
	})
}

func TestFindingsOfTheConfigurationInEffect(t *testing.T) {
	runCluster(t, func(c *cluster) {
		s := c.start("a")
		s.SetRelay(true)
		c.apply(1)
		synctest.Wait()
		c.Expect(s.Findings()).To(gomega.BeEmpty())
		text := `{"kind":"Member","name":"m","schemaVersion":2,"minReaderVersion":3,"share":9,"keys":[]}`
		records, _ := config.ParseFile("f.json", []byte(text))
		newer := configstore.New(c.store, configstore.Options{Prefix: "p/", WriterVersion: 3})
		_, err := newer.Apply(c.ctx, configstore.Change{ID: "newer", Records: records})
		c.Expect(err).NotTo(gomega.HaveOccurred())
		c.Expect(c.memberShare(s)).To(gomega.Equal(1.0), "the last readable version of the record stays in effect")
		c.Expect(s.Findings()).To(gomega.HaveLen(1))
	})
}
