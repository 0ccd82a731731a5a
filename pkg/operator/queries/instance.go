package queries

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/operator"
)

func registerInstance(parser *flags.Parser, e *operator.Environment) {
	operator.AddCommand(parser, "status", "Show the state of an instance", statusHelp, &statusQuery{env: e})
	operator.AddCommand(parser, "members", "Show members' use of the pool",
		"Shows each member's share, service received and waiting calls, as the instance knows them.",
		&listQuery[adminapi.Member]{env: e, path: adminapi.PathMembers, header: memberHeader, row: memberRow})
	operator.AddCommand(parser, "endpoints", "Show endpoints",
		"Shows health, load and memory of each endpoint, as the instance knows them.",
		&listQuery[adminapi.Endpoint]{env: e, path: adminapi.PathEndpoints, header: endpointHeader, row: endpointRow})
	operator.AddCommand(parser, "models", "Show models and adapters",
		"Shows demand and loaded copies of each model and adapter, as the instance knows them.",
		&listQuery[adminapi.Model]{env: e, path: adminapi.PathModels, header: modelHeader, row: modelRow})
	operator.AddCommand(parser, "moves", "Show the latest placement decisions",
		"Shows loads, unloads and relocations that the instance decided, newest first.",
		&listQuery[adminapi.Decision]{env: e, path: placementPath(), header: decisionHeader, row: decisionRow})
	explain := operator.AddCommand(parser, "explain", "Show why a decision was made", explainHelp, &struct{}{})
	operator.AddCommand(explain, "request", "Explain the choice of an endpoint", explainHelp,
		&explainQuery{env: e, kind: decisions.Routing})
	operator.AddCommand(explain, "log", "Explain a request from logs", logHelp, &logQuery{env: e})
	operator.AddCommand(explain, "placement", "Explain a load or unload", explainHelp,
		&explainQuery{env: e, kind: decisions.Placement})
}

func placementPath() string {
	return adminapi.PathDecisions + "?" + url.Values{adminapi.QueryKind: {string(decisions.Placement)}}.Encode()
}

// get queries an instance. It reports a lost reply as an unreachable instance, because a query changes nothing.
func get(e *operator.Environment, o operator.AdminOptions, path string, into any) error {
	client, err := e.Admin(o)
	if err != nil {
		return err
	}
	err = client.Get(e.Context, path, into)
	if errors.Is(err, adminapi.ErrNoReply) {
		return errors.Wrapf(adminapi.ErrUnreachable, "%v", err)
	}
	return err
}

const statusHelp = `Shows readiness, configuration, store contact, peers and placement of an instance.

Examples:
  mulberryglade status
  mulberryglade -o json status --watch --admin http://127.0.0.1:9480`

type statusQuery struct {
	Watch    bool                  `long:"watch" description:"Repeat until interrupted"`
	Interval time.Duration         `long:"interval" default:"2s" description:"Time between two repetitions with --watch"`
	Admin    operator.AdminOptions `group:"Instance"`

	env *operator.Environment
}

// Execute implements flags.Commander.
func (q *statusQuery) Execute(args []string) error {
	if err := operator.NoArguments(args); err != nil {
		return err
	}
	if q.Interval <= 0 {
		return operator.UsageError("--interval must be above zero (got %s)", q.Interval)
	}
	err := q.show()
	for q.Watch && timing.Sleep(q.env.Context, q.Interval) == nil {
		if err != nil {
			_, _ = fmt.Fprintf(q.env.Stderr, "mulberryglade: %v\n", err)
		}
		err = q.show()
	}
	if q.Watch && errors.Is(q.env.Context.Err(), context.Canceled) {
		return nil
	}
	return err
}

func (q *statusQuery) show() error {
	var s adminapi.Status
	if err := get(q.env, q.Admin, adminapi.PathStatus, &s); err != nil {
		return err
	}
	return q.env.Print(s, nil, statusRows(s))
}

func statusRows(s adminapi.Status) [][]string {
	rows := [][]string{
		{"instance", fmt.Sprintf("%s (%s, %s)", s.InstanceID, s.DataCentre, s.Region)},
		{"ready", strings.TrimSpace(fmt.Sprintf("%v %s", s.Ready, strings.Join(s.NotReadyReasons, "; ")))},
		{"draining", fmt.Sprint(s.Draining)},
		{"calls", fmt.Sprintf("%d in flight, %d queued", s.InFlight, s.Queued)},
		{"configuration", fmt.Sprintf("revision %d, behind %s, relay %v", s.Config.Revision, formatMs(s.Config.BehindMs), s.Config.Relay)},
		{"store", fmt.Sprintf("available %v, last contact %s ago", s.Store.Available, formatMs(s.Store.ContactAgeMs))},
	}
	for _, f := range s.Config.Findings {
		rows = append(rows, []string{"finding", f.String()})
	}
	for _, p := range s.Peers {
		rows = append(rows, []string{"peer " + p.InstanceID, fmt.Sprintf("%s, heard %s ago, revision %d, draining %v",
			p.DataCentre, formatMs(p.LastExchangeAgeMs), p.ConfigRevision, p.Draining)})
	}
	for _, shard := range s.Placement {
		rows = append(rows, []string{fmt.Sprintf("shard %d", shard.Shard), fmt.Sprintf("held %v", shard.Held)})
		for _, u := range shard.Unplaced {
			rows = append(rows, []string{"unplaced", fmt.Sprintf("%s %s: %s", u.Artifact.Kind, u.Artifact.Name, u.Reason)})
		}
	}
	return rows
}

func formatMs(milliseconds int64) string {
	if milliseconds < 0 {
		return "never"
	}
	return (time.Duration(milliseconds) * time.Millisecond).String()
}

// listQuery prints a list as a table.
type listQuery[T any] struct {
	Admin operator.AdminOptions `group:"Instance"`

	env    *operator.Environment
	path   string
	header []string
	row    func(T) []string
}

// Execute implements flags.Commander.
func (q *listQuery[T]) Execute(args []string) error {
	if err := operator.NoArguments(args); err != nil {
		return err
	}
	var list adminapi.List[T]
	if err := get(q.env, q.Admin, q.path, &list); err != nil {
		return err
	}
	rows := make([][]string, len(list.Items))
	for i, item := range list.Items {
		rows[i] = q.row(item)
	}
	return q.env.Print(list, q.header, rows)
}

var memberHeader = []string{"MEMBER", "SHARE", "ENTITLED", "RECEIVED", "IN FLIGHT", "WAITING"}

func memberRow(m adminapi.Member) []string {
	return []string{m.Name, fmt.Sprint(m.Share), percent(m.ShareFraction), percent(m.ServiceFraction),
		fmt.Sprint(m.InFlight), fmt.Sprint(m.Waiting)}
}

var endpointHeader = []string{"ENDPOINT", "DATA CENTRE", "HEALTH", "LEAVING", "REPORT AGE", "IN FLIGHT", "LIMIT",
	"KV CACHE", "LOADED"}

func endpointRow(e adminapi.Endpoint) []string {
	return []string{e.Name, e.DataCentre, e.Health, fmt.Sprint(e.Leaving), formatMs(e.ReportAgeMs),
		fmt.Sprint(e.OwnInFlight + e.PeerInFlight), fmt.Sprint(e.ConcurrencyLimit), percent(e.KVCacheUsage),
		fmt.Sprint(len(e.Artifacts))}
}

var modelHeader = []string{"MODEL", "KIND", "VERSION", "COPIES", "MIN", "MAX", "REQUESTS/S", "WAITING", "ENDPOINTS"}

func modelRow(m adminapi.Model) []string {
	return []string{m.Name, m.Kind, m.Version, fmt.Sprint(m.LoadedCopies), fmt.Sprint(m.MinCopies),
		fmt.Sprint(m.MaxCopies), fmt.Sprintf("%.2f", m.RequestsPerSecond), fmt.Sprint(m.Waiting),
		strings.Join(m.Endpoints, ",")}
}

var decisionHeader = []string{"TIME", "ID", "SUBJECT", "CHOSEN", "REASON"}

func decisionRow(d adminapi.Decision) []string {
	return []string{d.Time.Format(time.RFC3339), d.ID, d.Subject, d.Chosen, d.Reason}
}

func percent(fraction float64) string {
	return fmt.Sprintf("%.1f%%", 100*fraction)
}

const explainHelp = `Shows the record of a decision: what was considered, scored and ruled out, and why. Instances keep the latest
decisions only, each those it made itself.

Examples:
  mulberryglade explain request 0197f3a2-5f0e-7c1d-9d2e-1c5f4a3b2d10
  mulberryglade explain placement order-17`

type explainQuery struct {
	Arguments struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"true" required:"true"`
	Admin operator.AdminOptions `group:"Instance"`

	env  *operator.Environment
	kind decisions.Kind
}

// Execute implements flags.Commander.
func (q *explainQuery) Execute(args []string) error {
	if err := operator.NoArguments(args); err != nil {
		return err
	}
	var d adminapi.Decision
	path := adminapi.PathDecisions + "/" + url.PathEscape(q.Arguments.ID)
	if err := get(q.env, q.Admin, path, &d); err != nil {
		return err
	}
	if d.Kind != string(q.kind) {
		return errors.Newf("%s is a %s decision", q.Arguments.ID, d.Kind)
	}
	if q.env.JSON() {
		return q.env.PrintJSON(d)
	}
	header := [][]string{
		{"id", d.ID}, {"time", d.Time.Format(time.RFC3339Nano)}, {"subject", d.Subject}, {"chosen", d.Chosen}, {"reason", d.Reason},
	}
	if err := q.env.Print(nil, nil, header); err != nil {
		return err
	}
	return q.env.PrintJSON(d.Detail)
}
