package streamorigin

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"
)

func stream(id, version string, ends time.Time) Stream {
	return Stream{Key: KeyOf(id), Origin: Origin{"s", version}, Ends: ends}
}

// Guards against continuing a stream of which two origins are told, and against forgetting one before it ends.
func TestOriginIsKnownUntilTheStreamEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRecords()
	r.Add(stream("a", "v1", now.Add(20*time.Second)), now)
	r.Add(stream("a", "v1", now.Add(5*time.Second)), now)
	r.Add(stream("twice", "v1", now.Add(20*time.Second)), now)
	r.Add(stream("twice", "v2", now.Add(20*time.Second)), now)
	later := now.Add(15 * time.Second)
	r.Add(stream("b", "v2", later.Add(time.Second)), later)
	for id, want := range map[string]Origin{"a": {"s", "v1"}, "b": {"s", "v2"}, "twice": {}, "other": {}} {
		if got, found := r.Lookup(KeyOf(id)); got != want || found != (want != Origin{}) {
			t.Errorf("%s: %v, %v", id, got, found)
		}
	}
	r.Add(stream("c", "v2", later.Add(time.Hour)), later.Add(pruneInterval))
	if len(r.streams) != 1 {
		t.Errorf("%d streams are kept, one has not ended", len(r.streams))
	}
}

// Guards against records of another writer that end the process or name a wrong origin.
func TestBatches(t *testing.T) {
	now := time.Unix(1000, 0)
	var streams []Stream
	for i := range 5 {
		streams = append(streams, stream(fmt.Sprint(i), []string{"v1", "v2"}[i%2], now.Add(9*time.Second)))
	}
	encoded, err := EncodeBatch(streams, now)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeBatch(encoded, now)
	compare := func(a, b Stream) int { return int(a.Key>>33) - int(b.Key>>33) }
	slices.SortFunc(got, compare)
	slices.SortFunc(streams, compare)
	if err != nil || !reflect.DeepEqual(got, streams) {
		t.Fatalf("%v, %v", got, err)
	}
	for _, odd := range []string{"", "[]", `{"groups":[{"service":"s","version":"v","leftMs":1,"keys":"AAAA"}]}`,
		`{"groups":[{"service":"s","leftMs":1}]}`, `{"groups":[{"service":"s","version":"v","leftMs":99999999999}]}`, `{"groups":{"a":{}}}`} {
		if streams, err := DecodeBatch([]byte(odd), now); err == nil {
			t.Errorf("%q decoded as %v", odd, streams)
		}
	}
}

// Guards against losing a version that another instance has added, and against changing what others hold.
func TestVersionsAreOnlyAdded(t *testing.T) {
	v := Versions{"s": {"v1"}}
	both := v.With(Versions{"s": {"v2", "v1"}, "t": {"v7"}})
	if want := (Versions{"s": {"v1", "v2"}, "t": {"v7"}}); !reflect.DeepEqual(both, want) || !both.Contain(v) || v.Contain(both) {
		t.Fatalf("%v", both)
	}
	if rest := both.Without("s", "v1"); !reflect.DeepEqual(rest["s"], []string{"v2"}) || len(both["s"]) != 2 || len(v["s"]) != 1 {
		t.Fatalf("%v of %v", rest, both)
	}
	encoded, err := both.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := DecodeVersions(encoded); err != nil || !reflect.DeepEqual(decoded, both) {
		t.Fatalf("%v, %v", decoded, err)
	}
}
