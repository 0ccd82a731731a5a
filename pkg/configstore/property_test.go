package configstore_test

import (
	"context"
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// randomChange is one change of a random history, with the faults and the concurrent changes during its commits.
type randomChange struct {
	members map[string]int
	// faults and concurrent have one entry for each commit of the change. The concurrent change is applied before the
	// commit; nil means none.
	faults     []kv.Fault
	concurrent []*randomChange
}

func drawMembers(t *rapid.T) map[string]int {
	return rapid.MapOfN(rapid.SampledFrom([]string{"m", "n", "o", "q"}), rapid.IntRange(1, 3), 1, 3).Draw(t, "members")
}

func drawChange(t *rapid.T, allowConcurrent bool) *randomChange {
	a := &randomChange{members: drawMembers(t)}
	for range rapid.IntRange(0, 5).Draw(t, "commits") {
		a.faults = append(a.faults, rapid.SampledFrom([]kv.Fault{{}, {}, {DropReply: true}, {Refuse: true}}).Draw(t, "fault"))
		var other *randomChange
		if allowConcurrent && rapid.Bool().Draw(t, "race") {
			other = drawChange(t, false)
		}
		a.concurrent = append(a.concurrent, other)
	}
	return a
}

// faultyStore injects the faults and concurrent changes of a randomChange into the commits of its writer. The commits
// of the concurrent writers are not affected.
type faultyStore struct {
	*kv.Memory
	change          *randomChange
	applyConcurrent func(*randomChange)
	nextCommit      int
}

func (s *faultyStore) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	n := s.nextCommit
	s.nextCommit++
	if n >= len(s.change.faults) {
		return s.Memory.Commit(ctx, writes)
	}
	if s.change.concurrent[n] != nil {
		s.applyConcurrent(s.change.concurrent[n])
	}
	if s.change.faults[n].Refuse {
		return nil, kvstore.ErrUnavailable
	}
	results, err := s.Memory.Commit(ctx, writes)
	if s.change.faults[n].DropReply {
		return nil, kvstore.ErrOutcomeUnknown
	}
	return results, err
}

// history applies changes and records the accepted ones.
type history struct {
	store           *kv.Memory
	count           int
	highestRevision int64
	accepted        []acceptedChange
}

type acceptedChange struct {
	id       string
	revision int64
	members  map[string]int
}

func (h *history) run(a *randomChange) {
	h.count++
	id := fmt.Sprintf("c%d", h.count)
	texts := make([]string, 0, len(a.members))
	for name, share := range a.members {
		texts = append(texts, member(name, share))
	}
	sort.Strings(texts)
	s := &faultyStore{Memory: h.store, change: a, applyConcurrent: h.run}
	result, err := newRepository(s).Apply(ctx, change(id, texts...))
	h.checkRevision()
	if err == nil {
		h.accepted = append(h.accepted, acceptedChange{id: id, revision: result.Revision, members: a.members})
		return
	}
	var conflict *configstore.Conflict
	certain := errors.As(err, &conflict) || errors.Is(err, kvstore.ErrUnavailable)
	if !certain && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		Fail(fmt.Sprintf("unexpected error: %v", err))
	}
	if applied, revision := h.find(id); applied {
		Expect(certain).To(BeFalse(), "a change that is in the head was reported as without effect: %v", err)
		h.accepted = append(h.accepted, acceptedChange{id: id, revision: revision, members: a.members})
	}
}

func (h *history) head() *configstore.Head {
	contents, err := newRepository(h.store).Read(ctx, nil)
	Expect(err).NotTo(HaveOccurred())
	return contents.Head
}

func (h *history) checkRevision() {
	revision := h.head().Revision
	Expect(revision).To(BeNumerically(">=", h.highestRevision))
	h.highestRevision = revision
}

func (h *history) find(id string) (bool, int64) {
	for _, c := range h.head().Changes {
		if c.ID == id {
			return true, c.Revision
		}
	}
	return false, 0
}

var _ = Describe("random histories of concurrent writers", func() {
	// Guards against lost updates, partial changes and decreasing revisions under lost replies, refused calls and
	// concurrent writers: the result must be that of the accepted changes in the order of their revisions.
	It("equal the accepted changes in order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			store, _ := newSeededStore()
			h := &history{store: store}
			for range rapid.IntRange(1, 6).Draw(t, "attempts") {
				h.run(drawChange(t, true))
			}
			sort.SliceStable(h.accepted, func(i, j int) bool { return h.accepted[i].revision < h.accepted[j].revision })
			want := map[string]int{"m": 1}
			for _, c := range h.accepted {
				for name, share := range c.members {
					want[name] = share
				}
			}
			got := make(map[string]int)
			contents, err := newRepository(store).Read(ctx, nil)
			Expect(err).NotTo(HaveOccurred())
			records, found := config.Validate(contents.Records())
			Expect(found.Err()).NotTo(HaveOccurred())
			for _, m := range records.Members {
				got[m.Name] = int(m.Share)
			}
			Expect(got).To(Equal(want))
		})
	})
})
