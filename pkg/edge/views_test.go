package edge

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

var (
	viewSeeds     = flag.Uint64("views.seeds", 6, "number of simulated deployments of each test")
	firstViewSeed = flag.Uint64("views.first", 1, "seed of the first simulated deployment")
	viewLog       = flag.Bool("views.log", false, "print the logs of the simulated instances")
)

const (
	viewDataCentres = 2
	viewInstances   = 6
	// viewLarge is the number of instances of a data centre that may become relays.
	viewLarge     = 2
	viewEndpoints = 12
	viewDuration  = 25 * time.Second
	viewTick      = 40 * time.Millisecond
	// viewBound is the time in which a change must be in force, contactTime how long after its last fault an instance is
	// bound by it again: the bounds of the larger deployments.
	viewBound   = 4 * time.Second
	contactTime = 5 * time.Second
	// muteTime is how long watches hear of no changes before the store loses its history.
	muteTime = time.Second
	// longMuteTime is long enough that instances which rely on relays watch the store themselves meanwhile.
	longMuteTime = 1500 * time.Millisecond
	// toldShare is the share of the instances that hear from an endpoint itself that it leaves.
	toldShare = 0.3
	// lapseTime is how long an entry is missing that lapses.
	lapseTime = 400 * time.Millisecond
	// viewForget is how long an endpoint that has left is checked.
	viewForget = 15 * time.Second
)

// viewSimulation is a deployment whose operator changes the configuration and the endpoints while instances lose the
// store.
type viewSimulation struct {
	t         *testing.T
	random    *rand.Rand
	network   *simulatedNetwork
	store     *simulatedStore
	instances []*simulatedInstance
	version   int64
	// versionsAt are the times at which the versions were written; the first is version 1.
	versionsAt []time.Time
	present    []fleet.Announcement
	// announcedAt and leftAt are the times at which the present endpoints were last announced and the others began to leave.
	announcedAt map[string]time.Time
	leftAt      map[string]time.Time
	// lapsedUntil are the times at which endpoints announce themselves again whose entries have lapsed.
	lapsedUntil map[string]time.Time
	created     int
	// sound is set if nothing is impaired but single datagrams.
	sound bool
	// updatesPerSecond is the rate at which endpoints change that do not leave.
	updatesPerSecond float64
	// withoutNotice is set if endpoints are removed without being announced as leaving.
	withoutNotice bool
}

func newViewSimulation(t *testing.T, seed uint64) *viewSimulation {
	random := rand.New(rand.NewPCG(seed, 0))
	network := &simulatedNetwork{
		random: rand.New(rand.NewPCG(seed, 1)), conns: make(map[string]*simulatedConn), loss: 0.01, cutOff: make(map[string]bool),
	}
	s := &viewSimulation{t: t, random: random, updatesPerSecond: 10, network: network, store: newSimulatedStore(),
		announcedAt: make(map[string]time.Time), leftAt: make(map[string]time.Time),
		lapsedUntil: make(map[string]time.Time)}
	for i := range viewDataCentres * viewInstances {
		s.instances = append(s.instances, s.newInstance(i))
	}
	s.changeConfig()
	for range viewEndpoints {
		s.addEndpoint()
	}
	return s
}

// newInstance returns an instance that is registered. The first two of each data centre are the largest.
func (s *viewSimulation) newInstance(index int) *simulatedInstance {
	dataCentre := fmt.Sprintf("z%d", index%viewDataCentres+1)
	settings := Settings{
		InstanceID: fmt.Sprintf("edge-%s-%d", dataCentre, index/viewDataCentres+1), DataCentre: dataCentre, Region: "r1",
		ExchangeAddress: fmt.Sprintf("127.0.0.1:%d", 7000+index), Regions: make(map[string]string), MemoryMB: 184,
		Bounds: Bounds{LeavingMs: viewBound.Milliseconds(), ConfigurationMs: viewBound.Milliseconds()},
	}
	for d := range viewDataCentres {
		settings.Regions[fmt.Sprintf("z%d", d+1)] = settings.Region
	}
	if index < viewLarge*viewDataCentres {
		settings.MemoryMB = 536
	}
	value, err := json.Marshal(exchange.InstanceDoc{Exchange: settings.ExchangeAddress, DataCentre: dataCentre, MemoryMB: settings.MemoryMB})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.put(instancePrefix+settings.InstanceID, value)
	client := &simulatedClient{store: s.store, latency: time.Duration(4+s.random.IntN(50)) * time.Millisecond}
	return &simulatedInstance{settings: settings, client: client}
}

// isViewRelay reports whether an instance is one of the relays: the largest instances, by name, are in the first data centre.
func isViewRelay(index int) bool {
	return index%viewDataCentres == 0 && index < relaysPerRegion*viewDataCentres
}

// start starts an instance, which counts as impaired until now.
func (s *viewSimulation) start(i *simulatedInstance) {
	pool := httpconn.NewPool(httpconn.Options{})
	s.t.Cleanup(pool.Close)
	conn := s.network.listen(i.settings.ExchangeAddress)
	deps := Dependencies{Pool: pool, EntryDecoder: simulatedDecoder(), ExchangeConn: conn}
	server, err := New(i.settings, deps, viewLogger(i.settings.InstanceID))
	if err != nil {
		s.t.Fatal(err)
	}
	i.impairedUntil = time.Now()
	i.start(server)
}

// viewLogger returns the logger of an instance.
func viewLogger(name string) *zap.Logger {
	if !*viewLog {
		return zap.NewNop()
	}
	return zap.Must(zap.NewDevelopment()).With(zap.String("instance", name))
}

func (s *viewSimulation) changeConfig() {
	s.version++
	s.versionsAt = append(s.versionsAt, time.Now())
	s.store.put(simulatedConfigKey, simulatedConfig(s.version))
}

func (s *viewSimulation) addEndpoint() {
	s.created++
	a := fleet.Announcement{ID: fmt.Sprintf("e%d", s.created), Service: simulatedService, Address: fmt.Sprintf("a:%d", s.created), Slots: 8}
	s.present = append(s.present, a)
	s.announce(&a)
}

func (s *viewSimulation) announce(a *fleet.Announcement) {
	value, err := json.Marshal(a)
	if err != nil {
		s.t.Fatal(err)
	}
	if !a.Leaving {
		s.announcedAt[a.ID] = time.Now()
	}
	delete(s.lapsedUntil, a.ID)
	s.store.put(simulatedEndpoints+a.ID, value)
}

// replaceEndpoint lets an endpoint leave and adds another one.
func (s *viewSimulation) replaceEndpoint() {
	i := s.random.IntN(len(s.present))
	a := s.present[i]
	s.present = append(s.present[:i], s.present[i+1:]...)
	s.leftAt[a.ID] = time.Now()
	delete(s.announcedAt, a.ID)
	s.addEndpoint()
	if s.withoutNotice {
		s.store.delete(simulatedEndpoints + a.ID)
		return
	}
	a.Leaving = true
	s.announce(&a)
	s.tellLeaving(a.ID)
	time.AfterFunc(viewBound, func() { s.store.delete(simulatedEndpoints + a.ID) })
}

// tellLeaving lets some instances hear from an endpoint itself that it leaves, before they read it from the store.
func (s *viewSimulation) tellLeaving(id string) {
	for _, i := range s.instances {
		if i.server != nil && s.random.Float64() < toldShare {
			i.server.recordStatement(id, 0, fleet.Statement{Leaving: true})
		}
	}
}

// lapseEndpoint removes the entry of an endpoint that goes on running, as the store does after an outage of either.
func (s *viewSimulation) lapseEndpoint() {
	i := s.random.IntN(len(s.present))
	a := s.present[i]
	delete(s.announcedAt, a.ID)
	s.store.delete(simulatedEndpoints + a.ID)
	s.lapsedUntil[a.ID] = time.Now().Add(lapseTime)
}

// announceLapsed announces the present endpoints again whose entries have been missing for lapseTime.
func (s *viewSimulation) announceLapsed() {
	for i := range s.present {
		until, lapsed := s.lapsedUntil[s.present[i].ID]
		if lapsed && !time.Now().Before(until) {
			s.announce(&s.present[i])
		}
	}
}

// updateEndpoint announces an endpoint that has changed but does not leave.
func (s *viewSimulation) updateEndpoint() {
	i := s.random.IntN(len(s.present))
	s.present[i].Slots++
	s.announce(&s.present[i])
}

// impairInstances calls impair for some instances that are not impaired, relays more often than others. They count as
// impaired for the time given.
func (s *viewSimulation) impairInstances(duration time.Duration, impair func(i *simulatedInstance)) {
	for index, i := range s.instances {
		share := 0.2
		if index < viewLarge*viewDataCentres {
			share = 0.8
		}
		if time.Now().Before(i.impairedUntil) || s.random.Float64() >= share {
			continue
		}
		i.impairedUntil = time.Now().Add(duration)
		impair(i)
	}
}

// impair lets some instances lose the store or each other or end for a time, or the store its history.
func (s *viewSimulation) impair() {
	duration := 50 * time.Millisecond
	if s.random.IntN(3) > 0 {
		duration = time.Duration(500+s.random.IntN(6000)) * time.Millisecond
	}
	switch s.random.IntN(6) {
	case 0, 1:
		s.impairInstances(duration, func(i *simulatedInstance) { i.loseStore(storeSilent, duration) })
	case 2:
		s.impairInstances(duration, func(i *simulatedInstance) { i.loseStore(storeRefuses, duration) })
	case 3:
		s.impairInstances(duration, func(i *simulatedInstance) {
			s.network.setCutOff(i.settings.ExchangeAddress, true)
			time.AfterFunc(duration, func() { s.network.setCutOff(i.settings.ExchangeAddress, false) })
		})
	case 4:
		s.impairInstances(duration, func(i *simulatedInstance) { i.kill() })
	case 5:
		s.loseHistory()
	}
}

// loseHistory keeps changes from all watches for a second and then drops the store's history. All instances count as
// impaired until then.
func (s *viewSimulation) loseHistory() {
	s.store.mute()
	time.AfterFunc(muteTime, s.store.compact)
	for _, i := range s.instances {
		i.impairedUntil = maxTime(i.impairedUntil, time.Now().Add(muteTime))
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// bound reports whether the bounds hold for an instance now.
func (s *viewSimulation) bound(i *simulatedInstance) bool {
	return time.Since(i.impairedUntil) >= contactTime
}

// step changes the deployment at random.
func (s *viewSimulation) step() {
	perSecond := func(rate float64) bool { return s.random.Float64() < rate*viewTick.Seconds() }
	if perSecond(1.5) {
		s.changeConfig()
	}
	if perSecond(3) {
		s.replaceEndpoint()
	}
	if perSecond(s.updatesPerSecond) {
		s.updateEndpoint()
	}
	if perSecond(1) {
		s.lapseEndpoint()
	}
	s.announceLapsed()
	if !s.sound && perSecond(0.3) {
		s.impair()
	}
	for _, i := range s.instances {
		if i.server == nil && !time.Now().Before(i.impairedUntil) {
			s.start(i)
		}
	}
}

// check returns what is wrong at an instance that the bounds hold for; empty if nothing is.
func (s *viewSimulation) check(i *simulatedInstance) string {
	now := time.Now()
	if have := i.version(); have < s.version && now.Sub(s.versionsAt[have]) > viewBound {
		return fmt.Sprintf("version %d is in force, version %d was written %v before", have, have+1, now.Sub(s.versionsAt[have]))
	}
	usable := i.usable()
	for id, leftAt := range s.leftAt {
		if now.Sub(leftAt) > viewForget {
			delete(s.leftAt, id)
			continue
		}
		if now.Sub(leftAt) > viewBound && usable[id] {
			return fmt.Sprintf("%s is used, it left %v before", id, now.Sub(leftAt))
		}
	}
	for id, announcedAt := range s.announcedAt {
		if now.Sub(announcedAt) > viewBound && !usable[id] {
			return fmt.Sprintf("%s is not used, it was announced %v before", id, now.Sub(announcedAt))
		}
	}
	return ""
}

// run plays the deployment and returns the first finding; empty if there is none.
func (s *viewSimulation) run() string {
	for _, i := range s.instances {
		s.start(i)
	}
	defer s.killAll()
	for started := time.Now(); time.Since(started) < viewDuration; {
		time.Sleep(viewTick)
		s.step()
		for _, i := range s.instances {
			if !s.bound(i) {
				continue
			}
			if finding := s.check(i); finding != "" {
				return fmt.Sprintf("%s after %v: %s; its view is %v old", i.settings.InstanceID, time.Since(started), finding, i.server.storeView.age(time.Now()))
			}
		}
	}
	return ""
}

// killAll ends all instances.
func (s *viewSimulation) killAll() {
	for _, i := range s.instances {
		if i.server != nil {
			i.kill()
		}
	}
}

// playViews plays deployments with different seeds.
func playViews(t *testing.T, prepare func(s *viewSimulation)) {
	for seed := *firstViewSeed; seed < *firstViewSeed+*viewSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newViewSimulation(t, seed)
				prepare(s)
				if finding := s.run(); finding != "" {
					t.Error(finding)
				}
			})
		})
	}
}

// Guards against an instance that knows a change too late because the relays on which it relies have lost the store.
func TestRelaysThatLoseTheStoreDoNotDelayChanges(t *testing.T) {
	playViews(t, func(*viewSimulation) {})
}

// Guards against using endpoints for too long that were removed without notice after an instance had lost the store.
func TestEndpointsRemovedAfterALostConnectionAreNotUsed(t *testing.T) {
	playViews(t, func(s *viewSimulation) { s.withoutNotice = true })
}

// Guards against a relay that leaves out changes of entries which make no difference to itself, since it has heard from the
// endpoint that it leaves, or has kept it while its entry was missing. Later changes of the same endpoints would repair that.
func TestChangesThatRelaysKnewBeforeAreRelayed(t *testing.T) {
	playViews(t, func(s *viewSimulation) { s.updatesPerSecond = 0 })
}

// Guards against instances that watch the store although their relays keep their views recent: with many instances, their
// watches fill the links.
func TestInstancesRelyOnSoundRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newViewSimulation(t, *firstViewSeed)
		s.sound = true
		if finding := s.run(); finding != "" {
			t.Fatal(finding)
		}
		var reliant []*simulatedInstance
		for index, i := range s.instances {
			if !isViewRelay(index) {
				reliant = append(reliant, i)
			}
		}
		watches := 0
		for _, i := range reliant {
			made, _ := i.client.calls()
			watches += made
		}
		interval := reliant[0].settings.Bounds.watchInterval()
		withoutRelays := len(reliant) * int(viewDuration/interval)
		t.Logf("%d watches, %d without relays", watches, withoutRelays)
		if watches > withoutRelays/10 {
			t.Fatalf("instances that rely on relays made %d watches, without relays they make %d", watches, withoutRelays)
		}
	})
}

// Guards against all instances reading the whole store at once, which fills the links, when its history is lost while
// relays can read it for them.
func TestLostHistoryIsReadByRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newViewSimulation(t, *firstViewSeed)
		s.sound = true
		// The pause differs from the watch interval, so that the loss falls into each phase between two watches.
		const pause = 2730 * time.Millisecond
		for at := pause; at < viewDuration; at += pause {
			time.AfterFunc(at, s.store.mute)
			time.AfterFunc(at+longMuteTime, s.store.compact)
		}
		if finding := s.run(); finding != "" {
			t.Fatal(finding)
		}
		for index, i := range s.instances {
			_, reads := i.client.calls()
			if !isViewRelay(index) && reads > 1 {
				t.Errorf("%s read the store %d times, not only at its start", i.settings.InstanceID, reads)
			}
		}
	})
}
