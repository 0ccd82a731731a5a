package claims_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	// Fixes the seed of the property tests.
	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
)

var errLost = errors.New("reply lost")

// peerFault is what happens to one call between instances.
type peerFault int

const (
	peerOK peerFault = iota
	// peerUnsent loses the request.
	peerUnsent
	// peerLost loses the reply.
	peerLost
	// peerTwice delivers the request a second time, after a later step.
	peerTwice
)

// network connects the issuers of a world; a crashed issuer is replaced by one of another incarnation.
type network struct {
	mu      sync.Mutex
	issuers map[string]*claims.Issuer
	faults  []peerFault
	late    []func()
}

func (n *network) next() peerFault {
	if len(n.faults) == 0 {
		return peerOK
	}
	fault := n.faults[0]
	n.faults = n.faults[1:]
	return fault
}

// deliver runs a call under the next fault.
func (n *network) deliver(call func()) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	fault := n.next()
	if fault == peerUnsent {
		return errLost
	}
	call()
	if fault == peerTwice {
		n.late = append(n.late, call)
	}
	if fault == peerLost {
		return errLost
	}
	return nil
}

func (n *network) inject(fault peerFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = append(n.faults, fault)
}

// deliverLate delivers the second copies of requests.
func (n *network) deliverLate() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, call := range n.late {
		call()
	}
	n.late = nil
}

func (n *network) Redeem(_ context.Context, instance, _ string, request claims.RedeemRequest) (claims.RedeemResult, error) {
	var result claims.RedeemResult
	err := n.deliver(func() { result = n.issuers[instance].Redeem(request) })
	return result, err
}

func (n *network) Complete(_ context.Context, instance, _ string, request claims.CompleteRequest) error {
	var result error
	err := n.deliver(func() { result = n.issuers[instance].Complete(request) })
	return errors.CombineErrors(err, result)
}

// world is a store and two instances that share it.
type world struct {
	mu       sync.Mutex
	store    *kv.Memory
	net      *network
	claimers map[string]claims.Router
	stores   []*claims.StoreClaimer
	starts   int
}

var instances = []string{"x", "y"}

func newWorld() *world {
	w := &world{
		store:    kv.NewMemory(),
		net:      &network{issuers: make(map[string]*claims.Issuer)},
		claimers: make(map[string]claims.Router),
	}
	for _, name := range instances {
		w.start(name)
	}
	return w
}

// start gives the instance a new incarnation with empty memory. What ran in the old one goes on as a paused process
// would.
func (w *world) start(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	incarnation := fmt.Sprint("incarnation-", w.starts)
	issuer := claims.NewIssuer(claims.IssuerOptions{Instance: name, Incarnation: incarnation})
	w.net.mu.Lock()
	w.net.issuers[name] = issuer
	w.net.mu.Unlock()
	store := claims.NewStoreClaimer(claims.StoreOptions{Store: w.store, Instance: name, Incarnation: incarnation})
	w.stores = append(w.stores, store)
	w.claimers[name] = claims.Router{Issued: claims.NewIssuedClaimer(issuer, w.net), Store: store}
}

func (w *world) close() {
	w.store.Faults.SetDown(false)
	for _, s := range w.stores {
		s.Close()
	}
}

// key returns a fresh key of a kind: "store", or "issued" by instance x.
func (w *world) key(g Gomega, kind string) string {
	if kind == "store" {
		return "order-17"
	}
	key, err := w.net.issuers["x"].Issue("farm")
	g.Expect(err).NotTo(HaveOccurred())
	return key
}

// claim makes a call of member farm whose context lives for the given time.
func (w *world) claim(instance, key, body string, life time.Duration) (claims.Grant, *claims.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), life)
	context.AfterFunc(ctx, cancel)
	request := claims.Request{Member: "farm", Key: key, Hash: sha256.Sum256([]byte(body))}
	w.mu.Lock()
	claimer := w.claimers[instance]
	w.mu.Unlock()
	return claimer.Claim(ctx, request)
}

func bubble(t *testing.T, test func(g *WithT, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.close()
		test(NewWithT(t), w)
	})
}

func answer(text string) claims.Response {
	return claims.Response{Status: 201, ContentType: "text/plain", Body: []byte(text)}
}
