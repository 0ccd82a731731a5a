package peer

import (
	"testing"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
)

func TestPeer(t *testing.T) {
	testkit.RunSpecs(t, "peer")
}
