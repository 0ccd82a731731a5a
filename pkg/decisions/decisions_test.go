package decisions_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/decisions"
)

// Guards against a decision that cannot be found by the caller's request id, and against one that is found after its
// record was replaced.
func TestFind(t *testing.T) {
	const capacity = 3
	for name, c := range map[string]struct {
		ids   []string
		query string
		want  string
	}{
		"exact id":                      {ids: []string{"a", "b"}, query: "a", want: "0"},
		"latest of an id":               {ids: []string{"a", "b", "a"}, query: "a", want: "2"},
		"caller's id":                   {ids: []string{"mine.de41ca154d5c", "b"}, query: "mine", want: "0"},
		"latest of a caller's id":       {ids: []string{"mine.1", "mine.2", "b"}, query: "mine", want: "1"},
		"exact id before a suffixed id": {ids: []string{"mine", "mine.2"}, query: "mine", want: "0"},
		"beginning of another id":       {ids: []string{"mine-too", "mineral.1"}, query: "mine"},
		"replaced":                      {ids: []string{"a", "b", "c", "d"}, query: "a"},
		"replaced, with a suffix":       {ids: []string{"mine.1", "b", "c", "d"}, query: "mine"},
		"added again, then replaced":    {ids: []string{"a", "a", "c", "d"}, query: "a", want: "1"},
		"nothing":                       {query: ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := decisions.NewRecorder(zap.NewNop(), capacity)
			for i, id := range c.ids {
				r.Add(decisions.Record{Kind: decisions.Routing, ID: id, Chosen: fmt.Sprint(i)})
			}
			record, found := r.Find(c.query)
			g.Expect(found).To(Equal(c.want != ""))
			g.Expect(record.Chosen).To(Equal(c.want))
		})
	}
}
