// Package endpoints is the data layer: what is known of each endpoint, from load reports, cache events, own calls and
// peers, and how old that knowledge is.
package endpoints

import (
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// Health is the result of outlier detection.
type Health string

const (
	// Healthy endpoints receive calls.
	Healthy Health = "healthy"
	// Ejected endpoints receive no calls until their ejection time ends.
	Ejected Health = "ejected"
	// Probing endpoints receive one trial call at a time.
	Probing Health = "probing"
)

// State is an immutable copy of what is known of one endpoint at one time.
type State struct {
	// Endpoint is the declaration.
	Endpoint *config.Endpoint
	// Report is the last load report; nil before the first one.
	Report *engine.Report
	// ReportAge is the time since the report was received.
	ReportAge time.Duration
	// OwnInFlight counts this instance's calls; PeerInFlight sums what peers last told.
	OwnInFlight  int
	PeerInFlight int
	// ConcurrencyLimit is the adaptive limit of calls at once over all instances.
	ConcurrencyLimit int
	Health           Health
	// Leaving is true when the declaration, the instance list, the engine or failed calls say so.
	Leaving bool
}

// InFlight is the estimate of calls that run or wait at the endpoint.
func (s State) InFlight() int {
	return s.OwnInFlight + s.PeerInFlight
}

// Serves tells whether the last report lists the artifact as loaded, in any version.
func (s State) Serves(kind engine.ArtifactKind, name string) bool {
	if s.Report == nil {
		return false
	}
	for _, a := range s.Report.Artifacts {
		if a.Kind == kind && a.Name == name && a.State == engine.StateLoaded {
			return true
		}
	}
	return false
}
