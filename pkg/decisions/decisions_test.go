package decisions_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/decisions"
)

// Guards against a decision that cannot be found by the request id that the caller has, and against one that is found
// after its record was replaced.
func TestFind(t *testing.T) {
	const capacity = 3
	for name, c := range map[string]struct {
		ids  []string
		ask  string
		want string
	}{
		"own id":                     {ids: []string{"a", "b"}, ask: "a", want: "0"},
		"latest of an id":            {ids: []string{"a", "b", "a"}, ask: "a", want: "2"},
		"caller's id":                {ids: []string{"mine.de41ca154d5c", "b"}, ask: "mine", want: "0"},
		"latest of a caller's id":    {ids: []string{"mine.1", "mine.2", "b"}, ask: "mine", want: "1"},
		"exact id before a prefix":   {ids: []string{"mine", "mine.2"}, ask: "mine", want: "0"},
		"beginning of another id":    {ids: []string{"mine-too", "mineral.1"}, ask: "mine"},
		"replaced":                   {ids: []string{"a", "b", "c", "d"}, ask: "a"},
		"replaced with a longer id":  {ids: []string{"mine.1", "b", "c", "d"}, ask: "mine"},
		"added again, then replaced": {ids: []string{"a", "a", "c", "d"}, ask: "a", want: "1"},
		"nothing":                    {ask: ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := decisions.NewRecorder(zap.NewNop(), capacity)
			for i, id := range c.ids {
				r.Add(decisions.Record{Kind: decisions.Routing, ID: id, Chosen: fmt.Sprint(i)})
			}
			record, found := r.Find(c.ask)
			g.Expect(found).To(Equal(c.want != ""))
			g.Expect(record.Chosen).To(Equal(c.want))
		})
	}
}
