package exchange

import (
	"strings"
	"testing"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

func revisionIn(t *testing.T, era, revision int64) int64 {
	t.Helper()
	r, err := kvstore.RevisionInEra(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return int64(r)
}

// Guards against revisions without their era, which another instance compares with those of its own era, and against
// revisions that builds without eras take for the store's own.
func TestMessagesStateTheEraOfRevisions(t *testing.T) {
	sent := &Message{Instance: "edge-1", Revision: revisionIn(t, 3, 70), Relay: &RelayDoc{
		After: revisionIn(t, 3, 50), Revision: revisionIn(t, 3, 70),
		Gaps: []RevisionGap{{After: revisionIn(t, 2, 90), Before: revisionIn(t, 3, 60)}},
	}}
	data, err := Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), `"v":70`) || strings.Count(string(data), `"g":3`) != 1 {
		t.Fatalf("message is %s", data)
	}
	if sent.Relay.Revision != revisionIn(t, 3, 70) || sent.Relay.Gaps[0].Before != revisionIn(t, 3, 60) {
		t.Fatal("encoding changes the message")
	}
	m, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if m.Revision != sent.Revision || m.Relay.Revision != sent.Relay.Revision || m.Relay.After != sent.Relay.After {
		t.Fatalf("decoded %+v, relay %+v", m, m.Relay)
	}
	// The part of a gap before the era does not concern any view of this era.
	if gap := m.Relay.Gaps[0]; gap.Before != revisionIn(t, 3, 60) || !gap.Contains(revisionIn(t, 3, 1)) {
		t.Fatalf("gap %+v", gap)
	}
	if _, err := Decode([]byte(`{"i":"edge-1","g":9999,"v":1}`)); err == nil {
		t.Fatal("a message of an era out of range is accepted")
	}
}

// Guards against a change of the messages of deployments whose store states no era.
func TestMessagesWithoutAnEraAreAsBefore(t *testing.T) {
	data, err := Encode(&Message{Instance: "edge-1", Revision: 7, Relay: &RelayDoc{After: 5, Revision: 7}})
	if err != nil || strings.Contains(string(data), `"g":`) {
		t.Fatalf("message %s, %v", data, err)
	}
	if m, err := Decode(data); err != nil || m.Revision != 7 || m.Relay.After != 5 {
		t.Fatalf("decoded %+v, %v", m, err)
	}
}
