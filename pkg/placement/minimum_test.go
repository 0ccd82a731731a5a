package placement

import (
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// Guards against every data centre loading the whole minimum, which leaves no free memory for the last models, and
// against a data centre without its own copy.
func TestMinimumIsDividedAmongDataCentres(t *testing.T) {
	cases := []struct {
		declared    int
		dataCentres []string
		want        int
	}{
		{declared: 1, dataCentres: []string{"a"}, want: 1},
		{declared: 2, dataCentres: []string{"a"}, want: 2},
		{declared: 1, dataCentres: []string{"a", "b", "c"}, want: 1},
		{declared: 3, dataCentres: []string{"a", "b", "c"}, want: 1},
		{declared: 4, dataCentres: []string{"a", "b", "c"}, want: 2},
		{declared: 4, dataCentres: []string{"a", "a", "b"}, want: 2},
	}
	for _, c := range cases {
		records := config.Records{}
		for _, dataCentre := range c.dataCentres {
			records.Endpoints = append(records.Endpoints, config.Endpoint{Service: "s", DataCentre: dataCentre})
		}
		l := newLayout(State{Snapshot: config.NewSnapshot(1, time.Time{}, records)})
		if got := l.localMinimum(&config.Model{Service: "s", MinCopies: c.declared}); got != c.want {
			t.Errorf("minimum of %d over %v is %d, want %d", c.declared, c.dataCentres, got, c.want)
		}
	}
}
