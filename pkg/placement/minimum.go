package placement

import "github.com/mulberryglade/mulberryglade/pkg/config"

// minimum is this data centre's part of a model's declared minimum of copies: an equal part, rounded up, and at least
// one, so that each data centre can serve the model when it is cut off. It follows from the declarations alone. Counting
// the copies of the other data centres instead would let two of them unload theirs at the same time.
func (g *grid) minimum(m *config.Model) int {
	parts := g.dataCentresOf(m.Service)
	return max(1, (m.MinCopies+parts-1)/parts)
}

// dataCentresOf counts the data centres with endpoints of the service; it is at least one.
func (g *grid) dataCentresOf(service string) int {
	if n, known := g.dataCentres[service]; known {
		return n
	}
	seen := make(map[string]bool)
	for _, e := range g.state.Snapshot.EndpointsOf(service) {
		seen[e.DataCentre] = true
	}
	n := max(1, len(seen))
	g.dataCentres[service] = n
	return n
}
