package kvstore

import "testing"

// Guards against a revision of a new era that is not above all of the era before, and against one that a JSON number
// cannot represent exactly.
func TestRevisionsIncreaseAcrossEras(t *testing.T) {
	const lastOfEra = 1<<revisionBits - 1
	last, err := RevisionInEra(4, lastOfEra)
	if err != nil {
		t.Fatal(err)
	}
	next, err := RevisionInEra(5, 1)
	if err != nil || next <= last || next.Era() != 5 || next.WithinEra() != 1 || last.WithinEra() != lastOfEra {
		t.Fatalf("%d after %d, %v", next, last, err)
	}
	largest, err := RevisionInEra(1<<eraBits-1, lastOfEra)
	if err != nil || int64(float64(largest)) != int64(largest) || largest > 1<<53-1 {
		t.Fatalf("largest revision %d, %v", largest, err)
	}
	if r, err := RevisionInEra(0, 77); err != nil || r != 77 {
		t.Fatalf("revision %d without eras, %v", r, err)
	}
	for _, c := range [][2]int64{{1 << eraBits, 1}, {-1, 1}, {0, 1 << revisionBits}, {0, -1}} {
		if _, err := RevisionInEra(c[0], c[1]); err == nil {
			t.Errorf("era %d, revision %d are accepted", c[0], c[1])
		}
	}
}
