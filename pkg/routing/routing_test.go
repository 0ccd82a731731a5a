package routing

import (
	"math/rand/v2"
	"testing"
)

// Guards against routing a request by a shorter prefix, by another host, or by a prefix that ends within a path
// segment.
func TestLookupReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	table := NewTable(&Config{Routes: []Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z/1", "xy"},
		{"a.example", "/x/yy", "x"},
		{"a.example", "/x", "root"},
		{"A.Example:80", "/x/1", "x"},
		{"b.example", "/x/y/z/", "other"},
		{"b.example", "/x/", ""},
		{"c.example", "/", ""},
	} {
		got := ""
		if route := table.Lookup(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a distribution that does not follow the weights, and against choosing a service for a route without
// targets.
func TestChooseServiceFollowsWeights(t *testing.T) {
	table := NewTable(&Config{Services: map[string]*Service{"s": {Name: "s"}, "t": {Name: "t"}}})
	route := &Route{Targets: []Target{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := make(map[string]int)
	for range 1000 {
		counts[table.ChooseService(route, random).Name]++
	}
	if counts["t"] < 70 || counts["t"] > 130 {
		t.Errorf("counts are %v", counts)
	}
	if table.ChooseService(&Route{}, random) != nil {
		t.Error("a route without targets has a service")
	}
}

// Guards against repeating a request that must not run more than once.
func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true},
		{Route{Kind: NonIdempotent}, false},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true},
		{Route{Kind: NonIdempotent, Resumable: true}, false},
	} {
		if c.route.Repeatable() != c.want {
			t.Errorf("%+v: repeatable is %v", c.route, !c.want)
		}
	}
}
