package placement

import "github.com/mulberryglade/mulberryglade/pkg/config"

// localMinimum returns this data centre's share of a model's declared minimum of copies. The minimum is divided evenly
// and rounded up, and is at least one, so that a data centre can serve the model when it is disconnected from the
// others. It depends on the declarations only: if the copies in other data centres counted, two data centres could
// unload theirs at the same time.
func (l *layout) localMinimum(m *config.Model) int {
	dataCentres := l.dataCentresOf(m.Service)
	return max(1, (m.MinCopies+dataCentres-1)/dataCentres)
}

// dataCentresOf returns the number of data centres with endpoints of the service, but at least one.
func (l *layout) dataCentresOf(service string) int {
	if n, known := l.dataCentres[service]; known {
		return n
	}
	seen := make(map[string]bool)
	for _, e := range l.state.Snapshot.EndpointsOf(service) {
		seen[e.DataCentre] = true
	}
	n := max(1, len(seen))
	l.dataCentres[service] = n
	return n
}
