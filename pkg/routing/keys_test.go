package routing

import (
	"fmt"
	"strings"
	"testing"
)

// keyTable returns a table with the workspaces a, with two keys, and b, with one.
func keyTable() *Table {
	a, b := &Workspace{Name: "a"}, &Workspace{Name: "b"}
	keys := NewKeyIndex()
	keys.Add("asnmgkcuyj8pjbvk9m68", a)
	keys.Add("k7b2ex5wa5xwyhks8nbk", a)
	keys.Add("qqqqqqqqqqqqqqqqqqqq", b)
	return NewTable(&Config{Workspaces: []*Workspace{a, b}, Keys: keys})
}

// Guards against requests that run without a valid key, against valid keys that are rejected or attributed to another
// workspace, and against public routes that reject a key.
func TestCheckKey(t *testing.T) {
	table := keyTable()
	for _, c := range []struct {
		name       string
		key        string
		repeated   bool
		want       KeyCheck
		wantPublic KeyCheck
		workspace  string
	}{
		{name: "first key", key: "asnmgkcuyj8pjbvk9m68", want: KeyKnown, wantPublic: KeyKnown, workspace: "a"},
		{name: "second key", key: "k7b2ex5wa5xwyhks8nbk", want: KeyKnown, wantPublic: KeyKnown, workspace: "a"},
		{name: "other workspace", key: "qqqqqqqqqqqqqqqqqqqq", want: KeyKnown, wantPublic: KeyKnown, workspace: "b"},
		{name: "none", want: KeyMissing, wantPublic: KeyNotUsed},
		{name: "repeated", key: "asnmgkcuyj8pjbvk9m68", repeated: true, want: KeyRepeated, wantPublic: KeyDropped},
		{name: "unknown", key: "asnmgkcuyj8pjbvk9m69", want: KeyUnknown, wantPublic: KeyDropped},
		{name: "part of a key", key: "asnmgkcuyj8pjbvk9m6", want: KeyUnknown, wantPublic: KeyDropped},
		{name: "key and more", key: "asnmgkcuyj8pjbvk9m68 x", want: KeyUnknown, wantPublic: KeyDropped},
		{name: "upper case", key: "ASNMGKCUYJ8PJBVK9M68", want: KeyUnknown, wantPublic: KeyDropped},
		{name: "two keys in one value", key: "asnmgkcuyj8pjbvk9m68,k7b2ex5wa5xwyhks8nbk", want: KeyUnknown, wantPublic: KeyDropped},
		{name: "zero byte", key: "asnmgkcuyj8pjbvk9m68\x00", want: KeyUnknown, wantPublic: KeyDropped},
		{name: "not UTF-8", key: "\xff\xfe\x80", want: KeyUnknown, wantPublic: KeyDropped},
		{name: "very long", key: strings.Repeat("k7b2ex5wa5xwyhks8nbk", 800), want: KeyUnknown, wantPublic: KeyDropped},
		{name: "name of a workspace", key: "a", want: KeyUnknown, wantPublic: KeyDropped},
	} {
		for public, want := range map[bool]KeyCheck{false: c.want, true: c.wantPublic} {
			got, workspace := table.CheckKey(&Route{Public: public}, c.key, c.repeated)
			name := ""
			if workspace != nil {
				name = workspace.Name
			}
			if got != want || name != c.workspace {
				t.Errorf("%s, public %v: got %v for %q, want %v for %q", c.name, public, got, name, want, c.workspace)
			}
		}
	}
}

// Guards against requests that run although their key is not valid, by the classification of the results.
func TestAllowed(t *testing.T) {
	for check, want := range map[KeyCheck]bool{
		KeyNotUsed: true, KeyKnown: true, KeyDropped: true, KeyMissing: false, KeyRepeated: false, KeyUnknown: false,
	} {
		if check.Allowed() != want {
			t.Errorf("%v: allowed is %v", check, !want)
		}
	}
}

// Guards against deployments without workspaces that ask for keys, and against a configuration all of whose workspaces
// have mistakes and which is therefore open to everybody.
func TestKeysAreNeededOnlyWithWorkspaces(t *testing.T) {
	without := NewTable(&Config{})
	for _, key := range []string{"", "anything"} {
		if check, workspace := without.CheckKey(&Route{}, key, false); check != KeyNotUsed || workspace != nil {
			t.Errorf("without workspaces, key %q: %v", key, check)
		}
	}
	if without.UsesKeys() || without.WorkspaceByKey("") != nil {
		t.Error("a configuration without workspaces uses keys")
	}
	withoutKeys := NewTable(&Config{Keys: NewKeyIndex()})
	if check, _ := withoutKeys.CheckKey(&Route{}, "", false); check != KeyMissing {
		t.Errorf("workspaces without valid keys: %v", check)
	}
}

// Guards against a key of two workspaces, which would be attributed to either of them depending on the instance.
func TestKeyBelongsToTheFirstWorkspace(t *testing.T) {
	a, b := &Workspace{Name: "a"}, &Workspace{Name: "b"}
	keys := NewKeyIndex()
	if !keys.Add("k", a) || keys.Add("k", b) || keys.Add("k", a) {
		t.Error("the key was added more than once")
	}
	if keys.Lookup("k") != a || keys.Len() != 1 {
		t.Errorf("owner is %v, %d keys", keys.Lookup("k"), keys.Len())
	}
}

// Guards against clear keys in the configuration in force, which would appear in dumps of memory and in formatted values.
func TestIndexKeepsNoClearKeys(t *testing.T) {
	table := keyTable()
	if text := fmt.Sprintf("%+v", table.Config.Keys); strings.Contains(text, "asnmgkcuyj8pjbvk9m68") {
		t.Errorf("clear key in %s", text)
	}
}

// Guards against a lookup whose time shows whether a key is known, or grows with the number of keys.
func BenchmarkWorkspaceByKey(b *testing.B) {
	keys := NewKeyIndex()
	for i := range 2000 {
		keys.Add(fmt.Sprintf("%020d", i), &Workspace{})
	}
	table := NewTable(&Config{Keys: keys})
	for name, key := range map[string]string{"known": "00000000000000000007", "unknown": "0000000000000000000x"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				table.WorkspaceByKey(key)
			}
		})
	}
}
