package edge

import (
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/routing"
	"github.com/mulberryglade/mulberryglade/pkg/streamorigin"
)

// bindToOrigin binds a request that takes a stream up to the version that began it. It returns false if that is not known.
func (r *clientRequest) bindToOrigin() bool {
	version, known := r.server.origins.versionOf(r.ctx, r.service.Name, r.request.Resumes)
	if !known {
		return false
	}
	if version != "" {
		r.software = []string{version}
	}
	r.log.Info("stream taken up", zap.String("resumes", r.request.Resumes), zap.String("lastEvent", r.request.LastEventID),
		zap.String("version", version))
	return true
}

// recordOrigin records at which version a stream begins, and binds the rest of the response to it. It has no effect after the
// first event.
func (r *clientRequest) recordOrigin(a *attempt) {
	if !r.route.Repeatable() || r.boundToSoftware() || a.choice.Software == "" {
		return
	}
	r.software = []string{a.choice.Software}
	origin := streamorigin.Origin{Service: r.service.Name, Version: a.choice.Software}
	r.server.origins.begin(r.request.ID, origin, r.deadline)
}

// boundToSoftware reports whether the request may run at one version only.
func (r *clientRequest) boundToSoftware() bool {
	return r.software != nil
}

// continuesStream reports whether the client has received a part of the stream, in this response or before.
func (r *clientRequest) continuesStream() bool {
	return r.boundToSoftware() || r.route.Repeatable() && r.route.Kind == routing.Streaming && r.request.LastEventID != ""
}

// allowedSoftware returns the versions that may run the request; nil means all.
func (r *clientRequest) allowedSoftware() []string {
	if r.boundToSoftware() || r.route.Kind != routing.Streaming || !r.route.Resumable {
		return r.software
	}
	return r.server.origins.allowed(r.service.Name)
}
