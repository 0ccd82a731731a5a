package daemon

import (
	"testing"

	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

// Guards against routing by cost without the index of cached prefixes. The prefix scorer then gives all endpoints the
// same score, without any other symptom.
func TestRoutingByCostUsesThePrefixIndex(t *testing.T) {
	d := &Daemon{
		settings:   settings.Default(),
		topology:   scheduling.NewSnapshotTopology("a"),
		linkBudget: scheduling.NewLinkBudget(0),
		prefixes:   scheduling.NewPrefixIndex(scheduling.DefaultPrefixBlocks),
	}
	if d.pipeline(1).Index != d.prefixes {
		t.Fatal("the pipeline has no prefix index")
	}
}
