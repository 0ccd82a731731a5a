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

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	// testkit sets a fixed seed for the property tests.
	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
)

var errReplyLost = errors.New("reply lost")

// peerFault is a fault of one call between instances.
type peerFault int

const (
	peerOK peerFault = iota
	// peerRequestLost drops the request before it is delivered.
	peerRequestLost
	// peerReplyLost delivers the request and drops the reply.
	peerReplyLost
	// peerDuplicated delivers the request and keeps a duplicate for deliverDuplicates.
	peerDuplicated
)

// peerNetwork connects the issuers of the instances. When an instance restarts, its issuer is replaced by one of a new
// incarnation.
type peerNetwork struct {
	mu         sync.Mutex
	issuers    map[string]*claims.Issuer
	faults     []peerFault
	duplicates []func()
}

func (n *peerNetwork) nextFault() peerFault {
	if len(n.faults) == 0 {
		return peerOK
	}
	fault := n.faults[0]
	n.faults = n.faults[1:]
	return fault
}

// deliver runs a call with the next queued fault.
func (n *peerNetwork) deliver(call func()) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	fault := n.nextFault()
	if fault == peerRequestLost {
		return errReplyLost
	}
	call()
	if fault == peerDuplicated {
		n.duplicates = append(n.duplicates, call)
	}
	if fault == peerReplyLost {
		return errReplyLost
	}
	return nil
}

func (n *peerNetwork) queueFault(fault peerFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = append(n.faults, fault)
}

// deliverDuplicates delivers the duplicates of requests.
func (n *peerNetwork) deliverDuplicates() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, call := range n.duplicates {
		call()
	}
	n.duplicates = nil
}

func (n *peerNetwork) Redeem(_ context.Context, instance, _ string, request claims.RedeemRequest) (claims.RedeemResult, error) {
	var result claims.RedeemResult
	err := n.deliver(func() { result = n.issuers[instance].Redeem(request) })
	return result, err
}

func (n *peerNetwork) Complete(_ context.Context, instance, _ string, request claims.CompleteRequest) error {
	var result error
	err := n.deliver(func() { result = n.issuers[instance].Complete(request) })
	return errors.CombineErrors(err, result)
}

// testEnv consists of a store and two instances that share it.
type testEnv struct {
	mu            sync.Mutex
	store         *kv.Memory
	peers         *peerNetwork
	claimers      map[string]claims.Router
	storeClaimers []*claims.StoreClaimer
	incarnations  int
}

var instances = []string{"x", "y"}

func newTestEnv() *testEnv {
	env := &testEnv{
		store:    kv.NewMemory(),
		peers:    &peerNetwork{issuers: make(map[string]*claims.Issuer)},
		claimers: make(map[string]claims.Router),
	}
	for _, name := range instances {
		env.startInstance(name)
	}
	return env
}

// startInstance starts a new incarnation of the instance with empty memory. Calls of the previous incarnation continue,
// like those of a process that was paused.
func (env *testEnv) startInstance(name string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.incarnations++
	incarnation := fmt.Sprint("incarnation-", env.incarnations)
	issuer := claims.NewIssuer(claims.IssuerOptions{Instance: name, Incarnation: incarnation})
	env.peers.mu.Lock()
	env.peers.issuers[name] = issuer
	env.peers.mu.Unlock()
	store := claims.NewStoreClaimer(claims.StoreOptions{Store: env.store, Instance: name, Incarnation: incarnation})
	env.storeClaimers = append(env.storeClaimers, store)
	env.claimers[name] = claims.Router{Issued: claims.NewIssuedClaimer(issuer, env.peers), Store: store}
}

func (env *testEnv) close() {
	env.store.Faults.SetDown(false)
	for _, s := range env.storeClaimers {
		s.Close()
	}
}

// key returns a key of the given kind: for "store" a key chosen by the caller, for "issued" a new key issued by
// instance x.
func (env *testEnv) key(g Gomega, kind string) string {
	if kind == "store" {
		return "order-17"
	}
	key, err := env.peers.issuers["x"].Issue("farm")
	g.Expect(err).NotTo(HaveOccurred())
	return key
}

// claim claims the key at the instance for member farm, with a context that ends after the timeout.
func (env *testEnv) claim(instance, key, body string, timeout time.Duration) (claims.Grant, *claims.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	context.AfterFunc(ctx, cancel)
	request := claims.Request{Member: "farm", Key: key, Hash: sha256.Sum256([]byte(body))}
	env.mu.Lock()
	claimer := env.claimers[instance]
	env.mu.Unlock()
	return claimer.Claim(ctx, request)
}

func withTestEnv(t *testing.T, test func(g *WithT, env *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv()
		defer env.close()
		test(NewWithT(t), env)
	})
}

func newResponse(body string) claims.Response {
	return claims.Response{Status: 201, ContentType: "text/plain", Body: []byte(body)}
}
