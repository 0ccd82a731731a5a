package daemon

import (
	"testing"

	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

// Guards against routing without the index of cached prefixes: the prefix scorer then rates all endpoints the same, and
// nothing else shows it.
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
