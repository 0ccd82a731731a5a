package clientconn

import (
	"testing"
	"time"
)

// leftPhase is a connection that has left the phase in which it was seen.
type leftPhase struct{ seen State }

func (c *leftPhase) State(time.Time) State { return c.seen }

func (*leftPhase) CloseIn(Phase) bool { return false }

// Guards against a search for a connection to close that never ends, because one whose response is read again meanwhile, or
// that is closed already, is chosen again and again.
func TestConnectionsThatLeftTheirPhaseArePassedOver(t *testing.T) {
	for name, seen := range map[string]State{
		"unread response": {Phase: Busy, Unread: time.Minute},
		"closing":         {Phase: Closing, Unread: time.Minute},
		"idle":            {Phase: Idle, Unread: time.Minute},
	} {
		g := NewGroup[*leftPhase]()
		g.Admit(&leftPhase{seen}, 1)
		if admitted, closedOne := g.Admit(&leftPhase{seen}, 1); admitted || closedOne {
			t.Errorf("%s: admitted %v, closed %v", name, admitted, closedOne)
		}
	}
}
