package edge

import (
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// unknownKeyRetryAfter is the Retry-After time for an unknown key while the view is stale. The store is asked again every
// 300 ms, and reading all entries takes well under a second.
const unknownKeyRetryAfter = time.Second

// accessMetrics count the checks of API keys by their result. They stay zero in deployments without workspaces.
type accessMetrics struct {
	checks     map[routing.KeyCheck]tally.Counter
	staleView  tally.Counter
	revoked    tally.Counter
	workspaces tally.Gauge
	keys       tally.Gauge
}

func newAccessMetrics(scope tally.Scope) accessMetrics {
	counter := func(result string) tally.Counter {
		return scope.Tagged(map[string]string{"result": result}).Counter("key_checks")
	}
	m := accessMetrics{
		checks:     make(map[routing.KeyCheck]tally.Counter),
		staleView:  counter("stale_view"),
		revoked:    counter("revoked"),
		workspaces: scope.Gauge("workspaces"),
		keys:       scope.Gauge("api_keys"),
	}
	for check := routing.KeyNotUsed; check <= routing.KeyUnknown; check++ {
		m.checks[check] = counter(check.String())
	}
	return m
}

// recordConfig records the workspaces of the configuration in force.
func (m *accessMetrics) recordConfig(config *routing.Config) {
	keys := 0
	if config.Keys != nil {
		keys = config.Keys.Len()
	}
	m.workspaces.Update(float64(len(config.Workspaces)))
	m.keys.Update(float64(keys))
}

// checkKey decides whether a request may run by its API key, and for which workspace. If it may not, checkKey responds
// and returns false.
func (r *clientRequest) checkKey(closeAfter bool) (allowed, keepOpen bool) {
	r.checkedTable = r.table
	r.keyCheck, r.workspace = r.table.CheckKey(r.route, r.request.Key, r.request.KeyRepeated)
	if !r.keyCheck.Allowed() {
		return false, r.refuseKey(closeAfter)
	}
	if r.table.UsesKeys() {
		r.server.metrics.access.checks[r.keyCheck].Inc(1)
	}
	if r.workspace != nil {
		r.log = r.log.With(zap.String("workspace", r.workspace.Name))
	}
	return true, true
}

// refuseKey responds that the request has not run because of its API key. While the view is stale, an unknown key may be
// a new one; the client may then try again. It returns false when the connection must be closed.
func (r *clientRequest) refuseKey(closeAfter bool) bool {
	viewAge := r.server.storeView.age(time.Now())
	response := ownResponse{status: fasthttp.StatusUnauthorized, closeAfter: closeAfter}
	counter := r.server.metrics.access.checks[r.keyCheck]
	if r.keyCheck == routing.KeyUnknown && viewAge > r.server.settings().Bounds.configurationTime() {
		response.status, response.retryAfter = fasthttp.StatusServiceUnavailable, unknownKeyRetryAfter
		counter = r.server.metrics.access.staleView
	}
	counter.Inc(1)
	r.log.Info("refused: API key", zap.String("route", r.route.Name), zap.Stringer("check", r.keyCheck),
		zap.Int("status", response.status), zap.Int64("configuration", r.checkedTable.Config.Version),
		zap.Duration("viewAge", viewAge))
	return r.server.respond(r.conn, r.log, response)
}

// recheckKey checks the API key again if another configuration has come into force since the last check. It returns
// false if the request must not be sent: its key was removed or now belongs to another workspace. Without workspaces in
// the newer configuration and on routes that it does not have, requests go on as they were admitted.
func (r *clientRequest) recheckKey() bool {
	current := r.server.table.Load()
	if current == r.checkedTable {
		return r.keyCheck.Allowed() && !r.workspaceChanged
	}
	r.checkedTable = current
	if !current.UsesKeys() {
		return true
	}
	route := current.Lookup(string(r.httpRequest.Header.Host()), pathOf(r.httpRequest.Header.RequestURI()))
	if route == nil {
		route = r.route
	}
	var workspace *routing.Workspace
	r.keyCheck, workspace = current.CheckKey(route, r.request.Key, r.request.KeyRepeated)
	r.workspaceChanged = workspaceName(workspace) != workspaceName(r.workspace)
	if r.keyCheck.Allowed() && !r.workspaceChanged {
		return true
	}
	r.server.metrics.access.revoked.Inc(1)
	r.log.Info("not sent: API key", zap.Stringer("check", r.keyCheck), zap.Bool("workspaceChanged", r.workspaceChanged),
		zap.Int64("configuration", current.Config.Version), zap.Int("sends", r.sends))
	return false
}

// usesKeys reports whether the client's API key must not be forwarded.
func (r *clientRequest) usesKeys() bool {
	return r.table.UsesKeys() || r.checkedTable.UsesKeys()
}

// workspaceName returns the name of a workspace, which may be nil.
func workspaceName(w *routing.Workspace) string {
	if w == nil {
		return ""
	}
	return w.Name
}

// priority returns the rank of the request: that of its workspace, or else that of its route.
func (r *clientRequest) priority() int {
	if r.workspace != nil && r.workspace.Priority != nil {
		return *r.workspace.Priority
	}
	return r.route.Priority
}

// maxLoggedFindings bounds the findings of a configuration in one log line.
const maxLoggedFindings = 20

// logFindings logs the mistakes in a configuration that is in force, all in one line.
func logFindings(log *zap.Logger, config *routing.Config) {
	if config.Findings.Len() == 0 {
		return
	}
	var texts []string
	for _, finding := range config.Findings.Items() {
		if len(texts) == maxLoggedFindings {
			break
		}
		texts = append(texts, finding.String())
	}
	log.Error("configuration has mistakes; the rest is in force", zap.Int64("version", config.Version),
		zap.Int("findings", config.Findings.Len()), zap.Strings("first", texts))
}
