package logquery

import (
	"strings"
	"testing"
)

const testLog = `
   4.1 edge-1 {"level":"info","ts":"2026-10-04T03:18:31.5Z","msg":"routed","instance":"edge-1","request":"r1","endpoint":"e1","model":"m","expected":0.1}
no log line
{"level":"info","ts":"2026-10-04T03:18:31.4Z","msg":"endpoint withdrawn","instance":"edge-1","endpoint":"e9"}
{"level":"warn","ts":"2026-10-04T03:18:32Z","msg":"stream broken off","instance":"edge-1","request":"r1","reason":"stream broke off"}
{"level":"info","ts":"2026-10-04T03:18:31.9Z","msg":"endpoint withdrawn","instance":"edge-2","endpoint":"e1"}
{"level":"info","ts":"2026-10-04T03:18:31.2Z","msg":"order accepted","instance":"edge-3","endpoint":"e7","model":"m","load":true}
{"level":"warn","ts":"2026-10-04T03:18:30Z","msg":"store lost","instance":"edge-1"}
{"level":"warn","ts":"2026-10-04T03:18:30Z","msg":"store lost","instance":"edge-2"}
{"level":"info","ts":"2026-10-04T03:10:30Z","msg":"started","instance":"edge-1"}
{"level":"info","ts":"2026-10-04T03:18:31.6Z","msg":"routed","instance":"edge-1","request":"r2","endpoint":"e1","model":"m"}
{"level":"info","ts":"not a time","msg":"routed","request":"r1"}
{"truncated
`

// Guards against a result without related lines of other instances, or with lines of other requests.
func TestRequestLines(t *testing.T) {
	lines, err := Read(strings.NewReader(testLog))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range RequestLines(lines, "r1") {
		got = append(got, l.Message+" "+l.Instance)
	}
	want := []string{"store lost edge-1", "order accepted edge-3", "routed edge-1", "endpoint withdrawn edge-2", "stream broken off edge-1"}
	if strings.Join(got, "; ") != strings.Join(want, "; ") {
		t.Fatalf("lines are %q", got)
	}
	if related := RequestLines(lines, "unknown"); related != nil {
		t.Fatalf("lines of an unknown request are %v", related)
	}
}

func TestLineFormat(t *testing.T) {
	lines, err := Read(strings.NewReader(testLog))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := lines[0].String(), `03:18:31.500000 edge-1 routed request="r1" endpoint="e1" model="m" expected=0.1`; got != want {
		t.Fatalf("got %s", got)
	}
}
