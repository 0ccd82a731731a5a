package membudget

import "testing"

// Guards against an endpoint that holds more of our requests than its memory allows, against a large body that no endpoint
// ever gets, and against large bodies that keep small ones out.
func TestKeyedBoundsTheBytesOfEachKey(t *testing.T) {
	k := NewKeyed(800 << 10)
	for _, step := range []struct {
		key   string
		bytes int
		want  bool
	}{
		{"a", 4 << 20, true}, {"a", 1, false}, {"b", 600 << 10, true}, {"b", 101 << 10, false}, {"b", 60 << 10, true},
		{"b", 60 << 10, true}, {"b", 0, true}, {"b", 64 << 10, true}, {"b", 64 << 10, false},
	} {
		if got := k.TryTake(step.key, step.bytes); got != step.want {
			t.Fatalf("%s takes %d bytes: %v, want %v", step.key, step.bytes, got, step.want)
		}
	}
	k.Return("a", 4<<20)
	if !k.TryTake("a", 1<<10) || len(k.bytes) != 2 {
		t.Fatal("returned bytes still count")
	}
	k.Return("a", 1<<10)
	if len(k.bytes) != 1 {
		t.Fatal("a key without bytes is kept")
	}
}
