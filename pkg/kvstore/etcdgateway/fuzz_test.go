package etcdgateway

import "testing"

// FuzzParse guards against panics, results without a revision and a wrong number of results for any response.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"MQ==","create_revision":"3","modRevision":"5"}],"count":"1"}`,
		`{"header":{"revision":"7"},"succeeded":true,"responses":[{"responseTxn":{"succeeded":true}},{"response_txn":{"responses":[{"response_range":{"kvs":[{}]}}]}}]}`,
		`{"result":{"header":{"revision":"7"},"ID":"4","TTL":"10"}}`,
		`{"result":{"header":{"revision":"7"},"events":[{"type":"DELETE","kv":{"key":"YQ=="}}]}}`,
		`{"result":{"canceled":true,"compactRevision":"9"}}`,
		`{"error":{"grpc_code":14,"message":"etcdserver: no leader"}}`,
		`{"header":null,"responses":null,"kvs":[null],"a_b":1,"aB":2}`,
		`{"header":{"revision":"-1"}}`, `[]`, `{`, `null`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if kvs, revision, err := parseRange(raw); err == nil && revision <= 0 {
			t.Fatalf("range without revision: %v", kvs)
		}
		if results, err := parseCommit(raw, 2); err == nil && len(results) != 2 {
			t.Fatalf("%d results for 2 writes", len(results))
		}
		if id, _, err := parseLease(raw); err == nil && id == 0 {
			t.Fatal("lease without id")
		}
		_, _ = parseWatch(raw)
		_ = parseStatus(raw).storeError(true)
	})
}
