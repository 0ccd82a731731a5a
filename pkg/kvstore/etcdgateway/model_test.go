package etcdgateway_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore/etcdgateway"
)

// drawWrite draws a conditional write of one key, so that a call never writes a key twice.
func drawWrite(rt *rapid.T, key string) kvstore.ConditionalWrite {
	w := kvstore.ConditionalWrite{ReadOnFailure: []string{key, "k0"}}
	for range rapid.IntRange(0, 2).Draw(rt, "conditions") {
		w.Conditions = append(w.Conditions, kvstore.Condition{
			Key:    fmt.Sprint("k", rapid.IntRange(0, 2).Draw(rt, "compared")),
			Field:  kvstore.RevisionField(rapid.IntRange(0, 1).Draw(rt, "field")),
			Equals: kvstore.Revision(rapid.IntRange(0, 6).Draw(rt, "equals")),
		})
	}
	if rapid.IntRange(0, 3).Draw(rt, "delete") == 0 {
		w.Deletes = []string{key}
		return w
	}
	value := rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(rt, "value")
	w.Puts = []kvstore.Put{{Key: key, Value: value}}
	return w
}

// TestClientMatchesMemory guards against an operation whose result changes on the way over HTTP: random operations must
// get the same results from the in-memory store and through the adapter.
func TestClientMatchesMemory(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		direct, served := kv.NewMemory(), kv.NewMemory()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		server := kv.NewServer(served)
		var wg conc.WaitGroup
		wg.Go(func() { _ = server.Serve(listener) })
		defer wg.Wait()
		defer func() { _ = server.Close() }()
		urls := []string{"http://" + listener.Addr().String()}
		client, err := etcdgateway.New(etcdgateway.Options{URLs: urls, Timeout: time.Minute})
		g.Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		for range rapid.IntRange(1, 12).Draw(rt, "calls") {
			var writes []kvstore.ConditionalWrite
			for i := range rapid.IntRange(1, 3).Draw(rt, "writes") {
				writes = append(writes, drawWrite(rt, fmt.Sprint("k", i)))
			}
			want, wantErr := direct.Commit(ctx, writes)
			got, gotErr := client.Commit(ctx, writes)
			if fmt.Sprint(want, wantErr) != fmt.Sprint(got, gotErr) {
				rt.Fatalf("commit: %v %v instead of %v %v", got, gotErr, want, wantErr)
			}
			wantKVs, wantRevision, _ := direct.Range(ctx, "k")
			gotKVs, gotRevision, err := client.Range(ctx, "k")
			if err != nil || wantRevision != gotRevision || fmt.Sprint(wantKVs) != fmt.Sprint(gotKVs) {
				rt.Fatalf("range: %v at %d instead of %v at %d", gotKVs, gotRevision, wantKVs, wantRevision)
			}
		}
	})
}
