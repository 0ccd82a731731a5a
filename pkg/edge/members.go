package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/lease"
)

// members are the instances that are registered in the store, and the one that places models.
type members struct {
	mu        sync.Mutex
	instances map[string]exchange.InstanceDoc
	holder    holding
	// previous held right before holder. Both are empty when it is not known who did.
	previous holding
	// freeSince is when this instance saw first that no instance places models; zero while one does.
	freeSince time.Time
	// peak is the largest number of instances of the recent past, last reached at peakAt.
	peak   int
	peakAt time.Time
}

// holding is an instance that places models with its token; the token is zero when it is not known.
type holding struct {
	instance string
	fence    int64
}

func newMembers() *members {
	return &members{instances: make(map[string]exchange.InstanceDoc), freeSince: time.Now()}
}

func (m *members) put(name string, doc exchange.InstanceDoc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances[name] = doc
}

func (m *members) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.instances, name)
}

// entries returns the entries of those among the named instances that are registered.
func (m *members) entries(names []string) map[string]exchange.InstanceDoc {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make(map[string]exchange.InstanceDoc, len(names))
	for _, name := range names {
		if doc, found := m.instances[name]; found {
			entries[name] = doc
		}
	}
	return entries
}

func (m *members) has(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, found := m.instances[name]
	return found
}

func (m *members) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.instances))
	for name := range m.instances {
		names = append(names, name)
	}
	return names
}

// peakMemory is how long a larger number of instances is remembered: registrations lapse while the store is away, and the
// shares of a bound over a window must not grow before the window has passed.
const peakMemory = 30 * time.Second

// count returns the largest number of instances of the recent past, at least one.
func (m *members) count(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.instances) >= m.peak || now.Sub(m.peakAt) >= peakMemory {
		m.peak, m.peakAt = len(m.instances), now
	}
	return max(m.peak, 1)
}

// setHolder notes who places models, as each change of the store's key tells; an empty name means nobody.
func (m *members) setHolder(now holding, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder.instance != "" && now != m.holder {
		m.previous = m.holder
	}
	m.noteHolder(now, at)
}

// sawHolder notes who places models without knowing who did right before.
func (m *members) sawHolder(instance string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if instance == m.holder.instance {
		return
	}
	m.previous = holding{}
	m.noteHolder(holding{instance: instance}, at)
}

// forgetPrevious is called when changes of the holder may have been missed.
func (m *members) forgetPrevious() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.previous = holding{}
}

func (m *members) noteHolder(now holding, at time.Time) {
	switch {
	case now.instance != "":
		m.freeSince = time.Time{}
	case m.freeSince.IsZero():
		m.freeSince = at
	}
	m.holder = now
}

// previousHolder returns who placed models right before the instance that does under a token, and false if that is not known.
func (m *members) previousHolder(token int64) (instance string, fence int64, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder.fence != token || m.previous.fence == 0 {
		return "", 0, false
	}
	return m.previous.instance, m.previous.fence, true
}

// mayPlace tells whether an instance may place models: it does already, or no instance does and it is one of those with the
// most memory. Small machines lack the processor time and the bandwidth to place models for many endpoints and would lose
// the lease again and again; they wait until a larger one has had the time to see that it is free, and to get the first
// configuration, which this instance has had since a time.
func (m *members) mayPlace(name string, headStart time.Duration, configured, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder.instance != "" {
		return m.holder.instance == name
	}
	if now.Sub(m.freeSince) >= headStart && now.Sub(configured) >= headStart {
		return true
	}
	own, registered := m.instances[name]
	if !registered {
		return false
	}
	for _, doc := range m.instances {
		if doc.MemoryMB > own.MemoryMB {
			return false
		}
	}
	return true
}

func (m *members) currentHolder() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.instance
}

// byNearness returns the instances, those of a data centre first, then those of its region, each the largest first.
func (m *members) byNearness(dataCentre string, regions map[string]string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	distance := func(name string) int {
		switch other := m.instances[name].DataCentre; {
		case other == dataCentre:
			return 0
		case regions[other] == regions[dataCentre]:
			return 1
		default:
			return 2
		}
	}
	names := slices.Collect(maps.Keys(m.instances))
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(distance(a), distance(b)), m.bySize(a, b)) })
	return names
}

// bySize orders instances by memory, the largest first, and then by name: larger machines have the wider links. The lock is
// held.
func (m *members) bySize(a, b string) int {
	return cmp.Or(cmp.Compare(m.instances[b].MemoryMB, m.instances[a].MemoryMB), cmp.Compare(a, b))
}

// regionOf returns an instance's region, or an empty string for one that is not registered.
func (m *members) regionOf(name string, regions map[string]string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return regions[m.instances[name].DataCentre]
}

// peers returns the other instances.
func (m *members) peers(own string, regions map[string]string, region string) []exchange.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []exchange.Peer
	for name, doc := range m.instances {
		if name == own {
			continue
		}
		peers = append(peers, exchange.Peer{
			Instance:   name,
			DataCentre: doc.DataCentre,
			Address:    doc.Exchange,
			SameRegion: regions[doc.DataCentre] == region,
		})
	}
	return peers
}

const (
	// presenceTTL is how long an instance that died stays registered. Others notice sooner that it is silent, so that this
	// only bounds for how long they send it datagrams and leave it its shares.
	presenceTTL = 30 * time.Second
	// presenceRenewal is the time between renewals of the registration: each is a call of the store, by every instance. Three
	// may fail in a row.
	presenceRenewal = 8 * time.Second
)

// presence keeps this instance registered.
type presence struct {
	server *Server
	store  kvstore.Store
	lease  kvstore.LeaseID
}

// run registers and renews until the context ends, then leaves.
func (p *presence) run(ctx context.Context) {
	defer p.leave()
	for ctx.Err() == nil {
		if err := p.step(ctx); err != nil {
			p.server.log.Debug("registration not renewed", zap.Error(err))
			pause(ctx, retryPause)
			continue
		}
		pause(ctx, presenceRenewal)
	}
}

func (p *presence) step(ctx context.Context) error {
	if p.lease != 0 {
		_, err := p.store.KeepAlive(ctx, p.lease)
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			p.lease = 0
		}
		// The store may have removed the entry though the lease is there.
		if err != nil || p.server.members.has(p.server.settings().InstanceID) {
			return err
		}
	}
	return p.register(ctx)
}

func (p *presence) register(ctx context.Context) error {
	s := p.server.settings()
	if p.lease == 0 {
		id, _, err := p.store.Grant(ctx, presenceTTL)
		if err != nil {
			return err
		}
		p.lease = id
	}
	value, err := json.Marshal(exchange.InstanceDoc{Exchange: s.ExchangeAddress, DataCentre: s.DataCentre, MemoryMB: s.MemoryMB})
	if err != nil {
		return errors.Wrap(err, "encode instance entry")
	}
	put := kvstore.Put{Key: instancePrefix + s.InstanceID, Value: value, Lease: p.lease}
	_, err = p.store.Commit(ctx, []kvstore.ConditionalWrite{{Puts: []kvstore.Put{put}}})
	if errors.Is(err, kvstore.ErrLeaseNotFound) {
		p.lease = 0
	}
	if err == nil {
		p.server.log.Info("registered", zap.String("exchange", s.ExchangeAddress))
	}
	return err
}

// leaveTimeout bounds the last call of an instance that stops.
const leaveTimeout = 500 * time.Millisecond

func (p *presence) leave() {
	if p.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.store.Revoke(ctx, p.lease); err != nil {
		p.server.log.Info("registration not withdrawn; it expires", zap.Error(err))
	}
}

// placementLease adapts the lease holder to residency.Lease: the fencing token is the revision that created the key.
type placementLease struct {
	holder *lease.Holder
}

// Held implements residency.Lease.
func (p placementLease) Held() (int64, bool) {
	token, held := p.holder.Held()
	return int64(token.Revision), held
}
