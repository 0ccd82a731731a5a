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

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/lease"
)

// instanceRegistry holds the instances that are registered in the store, and the holder: the instance that places
// models.
type instanceRegistry struct {
	mu        sync.Mutex
	instances map[string]exchange.InstanceDoc
	holder    holderTerm
	// previous is the term right before that of holder. An unknown term is empty.
	previous holderTerm
	// freeSince is when this instance first saw that no instance places models; zero while one does.
	freeSince time.Time
	// peakCount is the largest recent number of instances, last seen at peakSeenAt.
	peakCount  int
	peakSeenAt time.Time
}

// holderTerm is one lease term of an instance that places models. The fencing token is zero if it is not known.
type holderTerm struct {
	instance     string
	fencingToken int64
}

func newInstanceRegistry() *instanceRegistry {
	return &instanceRegistry{instances: make(map[string]exchange.InstanceDoc), freeSince: time.Now()}
}

func (r *instanceRegistry) put(name string, doc exchange.InstanceDoc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances[name] = doc
}

func (r *instanceRegistry) remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.instances, name)
}

// entries returns the entries of the named instances; unregistered ones are left out.
func (r *instanceRegistry) entries(names []string) map[string]exchange.InstanceDoc {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := make(map[string]exchange.InstanceDoc, len(names))
	for _, name := range names {
		if doc, found := r.instances[name]; found {
			entries[name] = doc
		}
	}
	return entries
}

func (r *instanceRegistry) has(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, found := r.instances[name]
	return found
}

func (r *instanceRegistry) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.instances))
	for name := range r.instances {
		names = append(names, name)
	}
	return names
}

// peakRetention is how long the peak number of instances is kept. Registrations expire while the store is unavailable,
// and an instance's share of a bound over a time window must not grow before that window has passed.
const peakRetention = 30 * time.Second

// count returns the largest recent number of instances, at least one.
func (r *instanceRegistry) count(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.instances) >= r.peakCount || now.Sub(r.peakSeenAt) >= peakRetention {
		r.peakCount, r.peakSeenAt = len(r.instances), now
	}
	return max(r.peakCount, 1)
}

// setHolder records the holder after a change of the placement key. An empty instance means that there is no holder.
func (r *instanceRegistry) setHolder(term holderTerm, seenAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder.instance != "" && term != r.holder {
		r.previous = r.holder
	}
	r.recordHolder(term, seenAt)
}

// setHolderWithoutPrevious records the holder when changes before it may be missing, so that the previous holder is
// unknown.
func (r *instanceRegistry) setHolderWithoutPrevious(instance string, seenAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if instance == r.holder.instance {
		return
	}
	r.previous = holderTerm{}
	r.recordHolder(holderTerm{instance: instance}, seenAt)
}

// forgetPrevious makes the previous holder unknown. It is called when changes of the holder may be missing.
func (r *instanceRegistry) forgetPrevious() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.previous = holderTerm{}
}

func (r *instanceRegistry) recordHolder(term holderTerm, seenAt time.Time) {
	switch {
	case term.instance != "":
		r.freeSince = time.Time{}
	case r.freeSince.IsZero():
		r.freeSince = seenAt
	}
	r.holder = term
}

// previousHolder returns the instance that placed models right before the holder with the given token, and its token.
// It returns false if these are not known.
func (r *instanceRegistry) previousHolder(token int64) (instance string, fencingToken int64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder.fencingToken != token || r.previous.fencingToken == 0 {
		return "", 0, false
	}
	return r.previous.instance, r.previous.fencingToken, true
}

// mayPlaceModels reports whether an instance may place models: it is the holder, or there is no holder and either it is
// registered and no instance has more memory, or headStart has passed. Small instances lack the processor time and the
// bandwidth to place models for many endpoints and would lose the lease repeatedly. Small and unregistered instances
// therefore wait for headStart after they saw the lease free and after the first configuration came into force at
// configuredAt, so that a larger instance can see both first.
func (r *instanceRegistry) mayPlaceModels(name string, headStart time.Duration, configuredAt, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder.instance != "" {
		return r.holder.instance == name
	}
	if now.Sub(r.freeSince) >= headStart && now.Sub(configuredAt) >= headStart {
		return true
	}
	own, registered := r.instances[name]
	if !registered {
		return false
	}
	for _, doc := range r.instances {
		if doc.MemoryMB > own.MemoryMB {
			return false
		}
	}
	return true
}

func (r *instanceRegistry) currentHolder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.instance
}

// byDistance returns the instances: those of the data centre first, then those of the region, then all others.
// Instances of the same distance are ordered by compareSize.
func (r *instanceRegistry) byDistance(dataCentre, region string, regions map[string]string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	distance := func(name string) int {
		switch other := r.instances[name].DataCentre; {
		case other == dataCentre:
			return 0
		case regions[other] == region:
			return 1
		default:
			return 2
		}
	}
	names := slices.Collect(maps.Keys(r.instances))
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(distance(a), distance(b)), r.compareSize(a, b)) })
	return names
}

// dataCentres returns the data centres that have instances.
func (r *instanceRegistry) dataCentres() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, doc := range r.instances {
		if !slices.Contains(found, doc.DataCentre) {
			found = append(found, doc.DataCentre)
		}
	}
	return found
}

// inRegion returns the instances of a region.
func (r *instanceRegistry) inRegion(region string, regions map[string]string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, doc := range r.instances {
		if regions[doc.DataCentre] == region {
			names = append(names, name)
		}
	}
	return names
}

// compareSize orders instances by memory, the largest first, and then by name. Larger instances have links of higher
// bandwidth. The caller holds the lock.
func (r *instanceRegistry) compareSize(a, b string) int {
	return cmp.Or(cmp.Compare(r.instances[b].MemoryMB, r.instances[a].MemoryMB), cmp.Compare(a, b))
}

// regionOf returns an instance's region, or an empty string if it is not registered.
func (r *instanceRegistry) regionOf(name string, regions map[string]string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return regions[r.instances[name].DataCentre]
}

// peers returns all instances but own. Those with the most memory in their region may forward messages, since small ones have
// links of lower bandwidth.
func (r *instanceRegistry) peers(own string, regions map[string]string, region string) []exchange.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	largest := make(map[string]int)
	for _, doc := range r.instances {
		of := regions[doc.DataCentre]
		largest[of] = max(largest[of], doc.MemoryMB)
	}
	var peers []exchange.Peer
	for name, doc := range r.instances {
		if name == own {
			continue
		}
		peers = append(peers, exchange.Peer{
			Instance:   name,
			DataCentre: doc.DataCentre,
			Region:     regions[doc.DataCentre],
			Address:    doc.Exchange,
			SameRegion: regions[doc.DataCentre] == region,
			Forwards:   doc.MemoryMB == largest[regions[doc.DataCentre]],
		})
	}
	return peers
}

const (
	// registrationTTL is how long an instance stays registered after it has failed. Other instances notice the missing
	// messages sooner, so that the TTL only bounds how long they send datagrams to the failed instance and count it for
	// shares.
	registrationTTL = 30 * time.Second
	// registrationRenewalInterval is the time between renewals of the registration. Each renewal is a store call of
	// every instance. Three renewals may fail in a row.
	registrationRenewalInterval = 8 * time.Second
)

// registrar keeps this instance registered in the store.
type registrar struct {
	server *Server
	store  kvstore.Store
	lease  kvstore.LeaseID
}

// recordOwnEntry tells the quota whether this instance's entry is that of a previous process, so that the other instances
// have counted this one before. It is called with the first entry that is read.
func (s *Server) recordOwnEntry(item *kvstore.KeyValue) {
	if !s.registering.Load() || item.CreateRevision < item.ModRevision {
		s.quota.previouslyRegistered()
	}
}

// run registers the instance, renews the registration until the context ends, and then withdraws it.
func (r *registrar) run(ctx context.Context) {
	defer r.withdraw()
	for ctx.Err() == nil {
		sentAt := timing.SinceBoot()
		if err := r.renew(ctx); err != nil {
			r.server.log.Debug("registration not renewed", zap.Error(err))
			sleep(ctx, storeRetryDelay)
			continue
		}
		r.server.quota.confirmRegistration(sentAt)
		r.waitForRenewal(ctx)
	}
}

// waitForRenewal waits until the next renewal is due, or until requestRegistration is called.
func (r *registrar) waitForRenewal(ctx context.Context) {
	timer := time.NewTimer(registrationRenewalInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.server.registrationRequested:
	}
}

// requestRegistration makes the registrar renew the registration at once.
func (s *Server) requestRegistration() {
	select {
	case s.registrationRequested <- struct{}{}:
	default:
	}
}

func (r *registrar) renew(ctx context.Context) error {
	if r.lease != 0 {
		_, err := r.store.KeepAlive(ctx, r.lease)
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			r.lease = 0
		}
		// The store may have removed the entry although the lease exists.
		if err != nil || r.server.instances.has(r.server.settings().InstanceID) {
			return err
		}
	}
	return r.register(ctx)
}

func (r *registrar) register(ctx context.Context) error {
	s := r.server.settings()
	if r.lease == 0 {
		id, _, err := r.store.Grant(ctx, registrationTTL)
		if err != nil {
			return err
		}
		r.lease = id
	}
	value, err := json.Marshal(exchange.InstanceDoc{Exchange: s.ExchangeAddress, DataCentre: s.DataCentre, MemoryMB: s.MemoryMB})
	if err != nil {
		return errors.Wrap(err, "encode instance entry")
	}
	put := kvstore.Put{Key: instancePrefix + s.InstanceID, Value: value, Lease: r.lease}
	r.server.registering.Store(true)
	_, err = r.store.Commit(ctx, []kvstore.ConditionalWrite{{Puts: []kvstore.Put{put}}})
	if errors.Is(err, kvstore.ErrLeaseNotFound) {
		r.lease = 0
	}
	if err == nil {
		r.server.log.Info("registered", zap.String("exchange", s.ExchangeAddress))
	}
	return err
}

// withdrawTimeout bounds the call that withdraws the registration.
const withdrawTimeout = 500 * time.Millisecond

func (r *registrar) withdraw() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.server.log.Info("registration not withdrawn; it expires", zap.Error(err))
	}
}

// placementLease adapts lease.Holder to residency.Lease. The fencing token is the revision that created the key. It rises
// from holder to holder, also if the store forgot former holders, because revisions carry the store's era.
type placementLease struct {
	holder *lease.Holder
}

// Held implements residency.Lease.
func (p placementLease) Held() (int64, bool) {
	token, held := p.holder.Held()
	return int64(token.Revision), held
}
