package queries

import (
	"fmt"
	"sort"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/operator"
)

var kinds = []config.Kind{
	config.KindAdapter, config.KindDataCentre, config.KindDeployment, config.KindEndpoint, config.KindMember,
	config.KindModel, config.KindService,
}

// kindArgument is a kind as given on the command line: case is ignored, and a plural s is accepted.
type kindArgument config.Kind

// UnmarshalFlag implements flags.Unmarshaler.
func (k *kindArgument) UnmarshalFlag(value string) error {
	for _, kind := range kinds {
		if strings.EqualFold(value, string(kind)) || strings.EqualFold(value, string(kind)+"s") {
			*k = kindArgument(kind)
			return nil
		}
	}
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = string(kind)
	}
	return operator.UsageError("unknown kind %q; kinds are %s", value, strings.Join(names, ", "))
}

// Complete implements flags.Completer.
func (k *kindArgument) Complete(match string) []flags.Completion {
	var found []flags.Completion
	for _, kind := range kinds {
		if strings.HasPrefix(strings.ToLower(string(kind)), strings.ToLower(match)) {
			found = append(found, flags.Completion{Item: string(kind)})
		}
	}
	return found
}

// summaryFields are the fields that distinguish the records of a kind.
var summaryFields = map[config.Kind][]string{
	config.KindAdapter:    {"model", "version", "bytes"},
	config.KindDataCentre: {"region"},
	config.KindDeployment: {"attainmentWeight", "moveWeight"},
	config.KindEndpoint:   {"service", "dataCentre", "url", "leaving"},
	config.KindMember:     {"share"},
	config.KindModel:      {"service", "version", "minCopies", "maxCopies"},
	config.KindService:    {"type"},
}

func formatSummary(r config.RawRecord) string {
	var pairs []string
	for _, field := range summaryFields[r.Kind] {
		if value, ok := r.Fields[field]; ok {
			pairs = append(pairs, fmt.Sprintf("%s=%v", field, value))
		}
	}
	return strings.Join(pairs, " ")
}

func sortRows(rows [][]string) {
	sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
}
