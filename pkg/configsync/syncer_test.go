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

// world is a store, syncers by name, and the connections between them.
type world struct {
	*gomega.WithT
	ctx     context.Context
	store   *kv.Memory
	syncers map[string]*configsync.Syncer
	// corrupt damages what a peer sends; down refuses fetches from a peer.
	corrupt map[string]func(head []byte, revision int64, bundles []configstore.Bundle) ([]byte, int64, []configstore.Bundle)
	down    map[string]bool
	changes int
}

// inWorld runs a test with virtual time.
func inWorld(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &world{
			WithT:   gomega.NewWithT(t),
			ctx:     ctx,
			store:   kv.NewMemory(),
			syncers: make(map[string]*configsync.Syncer),
			down:    make(map[string]bool),
			corrupt: make(map[string]func([]byte, int64, []configstore.Bundle) ([]byte, int64, []configstore.Bundle)),
		}
		defer synctest.Wait()
		defer cancel()
		test(w)
	})
}

func (w *world) start(name string) *configsync.Syncer {
	s := configsync.New(configsync.Options{Store: w.store, Prefix: "p/", Peers: w})
	w.syncers[name] = s
	go s.Run(w.ctx)
	return s
}

// Fetch implements configsync.PeerSource by asking the other syncer.
func (w *world) Fetch(_ context.Context, peer string, known int64, have []string) (
	[]byte, int64, []configstore.Bundle, error,
) {
	if w.down[peer] {
		return nil, 0, nil, errors.New("unreachable")
	}
	head, revision, bundles := w.syncers[peer].CurrentHead(known, have)
	if damage := w.corrupt[peer]; damage != nil {
		head, revision, bundles = damage(head, revision, bundles)
	}
	return head, revision, bundles, nil
}

// apply changes the share of member m and returns the new revision.
func (w *world) apply(share int) int64 {
	w.changes++
	text := fmt.Sprintf(`{"schemaVersion":1,"records":[%s,{"kind":"Member","name":"m","share":%d,"keys":[]}]}`, deployment, share)
	records, found := config.ParseFile("f.json", []byte(text))
	w.Expect(found.Err()).NotTo(gomega.HaveOccurred())
	result, err := configstore.New(w.store, configstore.Options{Prefix: "p/"}).
		Apply(w.ctx, configstore.Change{ID: fmt.Sprint("c", w.changes), Records: records})
	w.Expect(err).NotTo(gomega.HaveOccurred())
	return result.Revision
}

func (w *world) share(s *configsync.Syncer) float64 {
	synctest.Wait()
	if s.Current() == nil {
		return 0
	}
	return s.Current().Member("m").Share
}

func (w *world) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestRelayFollowsTheStore(t *testing.T) {
	inWorld(t, func(w *world) {
		w.apply(1)
		s := w.start("a")
		w.sleep(time.Second)
		w.Expect(s.Current()).To(gomega.BeNil(), "an instance that is no relay does not read the store")
		s.SetRelay(true)
		w.Expect(w.share(s)).To(gomega.Equal(1.0))
		changed := s.Changed()
		w.apply(2)
		w.Expect(w.share(s)).To(gomega.Equal(2.0), "the watch must deliver without a poll")
		w.Expect(changed).To(gomega.BeClosed())
		s.SetRelay(false)
		synctest.Wait()
		w.apply(3)
		w.sleep(time.Minute)
		w.Expect(w.share(s)).To(gomega.Equal(2.0))
	})
}

// Guards against a relay that stays on an old configuration after an outage, and one that looks alive during it.
func TestRelaySurvivesAnOutage(t *testing.T) {
	inWorld(t, func(w *world) {
		w.apply(1)
		s := w.start("a")
		s.SetRelay(true)
		w.Expect(w.share(s)).To(gomega.Equal(1.0))
		w.sleep(time.Hour)
		w.Expect(s.StoreContactAge()).To(gomega.BeNumerically("<", 5*time.Second))
		w.store.Faults.SetDown(true)
		w.sleep(time.Hour)
		w.Expect(s.StoreContactAge()).To(gomega.BeNumerically(">=", time.Hour))
		w.Expect(w.share(s)).To(gomega.Equal(1.0), "the configuration in effect stays")
		reads := w.store.Faults.Count(kv.CallGet)
		w.sleep(time.Minute)
		w.Expect(w.store.Faults.Count(kv.CallGet)-reads).To(gomega.BeNumerically("<=", 31), "retries must slow down")
		w.store.Faults.SetDown(false)
		w.apply(2)
		w.sleep(5 * time.Second)
		w.Expect(w.share(s)).To(gomega.Equal(2.0))
	})
}

// deafStore has watches that never deliver, as a silently broken connection does.
type deafStore struct{ *kv.Memory }

type deafWatch struct{}

func (deafWatch) Next(ctx context.Context) ([]kvstore.Event, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (deafWatch) Close() {}

func (deafStore) Watch(context.Context, string, kvstore.Revision) (kvstore.Watch, error) {
	return deafWatch{}, nil
}

func TestRelayPollsBesidesADeafWatch(t *testing.T) {
	inWorld(t, func(w *world) {
		s := configsync.New(configsync.Options{Store: deafStore{w.store}, Prefix: "p/", Peers: w})
		go s.Run(w.ctx)
		s.SetRelay(true)
		w.sleep(time.Second)
		w.apply(1)
		w.sleep(3 * time.Second)
		w.Expect(w.share(s)).To(gomega.Equal(1.0))
	})
}

func TestPeersDeliverWhileTheStoreIsDown(t *testing.T) {
	inWorld(t, func(w *world) {
		relay, s := w.start("relay"), w.start("a")
		relay.SetRelay(true)
		w.apply(1)
		revision := w.apply(2)
		w.Expect(w.share(relay)).To(gomega.Equal(2.0))
		w.store.Faults.SetDown(true)
		late := w.start("late")
		late.SetRelay(true)
		s.Announce("relay", revision)
		late.Announce("relay", revision)
		w.Expect(w.share(s)).To(gomega.Equal(2.0))
		w.Expect(w.share(late)).To(gomega.Equal(2.0), "an instance that starts during an outage asks its peers")
		w.Expect(s.Revision()).To(gomega.Equal(revision))
	})
}

// Guards against a configuration that goes back, from the store or from a peer.
func TestNeverGoesBack(t *testing.T) {
	inWorld(t, func(w *world) {
		s, old := w.start("a"), w.start("old")
		w.apply(1)
		old.SetRelay(true)
		w.Expect(w.share(old)).To(gomega.Equal(1.0))
		old.SetRelay(false)
		synctest.Wait()
		head, _, _, err := w.store.Get(w.ctx, "p/config/head")
		w.Expect(err).NotTo(gomega.HaveOccurred())
		w.apply(2)
		s.SetRelay(true)
		w.Expect(w.share(s)).To(gomega.Equal(2.0))
		w.corrupt["old"] = func([]byte, int64, []configstore.Bundle) ([]byte, int64, []configstore.Bundle) {
			return old.CurrentHead(0, nil)
		}
		s.Announce("old", old.Revision())
		s.Announce("old", s.Revision()+1)
		w.Expect(w.share(s)).To(gomega.Equal(2.0))
		_, err = w.store.Commit(w.ctx, []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: head.Key, Value: head.Value}}}})
		w.Expect(err).NotTo(gomega.HaveOccurred())
		w.sleep(time.Minute)
		w.Expect(w.share(s)).To(gomega.Equal(2.0))
	})
}

// Guards against damaged or forged content from a peer, and against waiting for a peer that cannot deliver.
func TestBadPeersAreSkipped(t *testing.T) {
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
			inWorld(t, func(w *world) {
				revision := w.apply(1)
				good, bad, s := w.start("good"), w.start("bad"), w.start("a")
				good.SetRelay(true)
				bad.SetRelay(true)
				synctest.Wait()
				w.corrupt["bad"] = damage
				s.Announce("bad", revision)
				w.sleep(time.Minute)
				w.Expect(s.Current()).To(gomega.BeNil())
				w.Expect(s.Behind()).To(gomega.Equal(time.Minute))
				w.down["gone"] = true
				s.Announce("gone", revision+1)
				s.Announce("good", revision)
				w.sleep(time.Second)
				w.Expect(w.share(s)).To(gomega.Equal(1.0))
			})
		})
	}
}

func TestBehindEndsWhenTheNewestIsInEffect(t *testing.T) {
	inWorld(t, func(w *world) {
		s, relay := w.start("a"), w.start("relay")
		relay.SetRelay(true)
		w.down["relay"] = true
		revision := w.apply(1)
		s.Announce("relay", revision)
		w.sleep(10 * time.Second)
		w.Expect(s.Behind()).To(gomega.Equal(10 * time.Second))
		w.down["relay"] = false
		s.Announce("relay", revision)
		w.Expect(w.share(s)).To(gomega.Equal(1.0))
		w.Expect(s.Behind()).To(gomega.BeZero())
	})
}

func TestFindingsOfTheConfigurationInEffect(t *testing.T) {
	inWorld(t, func(w *world) {
		s := w.start("a")
		s.SetRelay(true)
		w.apply(1)
		synctest.Wait()
		w.Expect(s.Findings()).To(gomega.BeEmpty())
		text := `{"kind":"Member","name":"m","schemaVersion":2,"minReaderVersion":3,"share":9,"keys":[]}`
		records, _ := config.ParseFile("f.json", []byte(text))
		newer := configstore.New(w.store, configstore.Options{Prefix: "p/", WriterVersion: 3})
		_, err := newer.Apply(w.ctx, configstore.Change{ID: "newer", Records: records})
		w.Expect(err).NotTo(gomega.HaveOccurred())
		w.Expect(w.share(s)).To(gomega.Equal(1.0), "the last understood form stays in effect")
		w.Expect(s.Findings()).To(gomega.HaveLen(1))
	})
}
