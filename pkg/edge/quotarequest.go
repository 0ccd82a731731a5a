package edge

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/quota"
)

// overQuotaReason is the reason in the log line of a rejected request.
const overQuotaReason = "over the quota of the workspace"

const (
	// maxQuotaWaitShare is the fraction of the time until the deadline that a request may wait for the coordinator's answer.
	// Within it, a request waits until the answer counts as missing: to be rejected although it is within the quota costs
	// the client more than that wait.
	maxQuotaWaitShare = 0.5
	// patienceDivisor divides the time that a client has left: it honours a Retry-After up to a third of that.
	patienceDivisor = 3
)

// takeQuota charges the request to its workspace. If the request exceeds the quota, it returns false and the time after
// which the request fits.
func (r *clientRequest) takeQuota() (retryAfter time.Duration, ok bool) {
	if r.workspace == nil || !r.workspace.Quota.Limited() {
		return 0, true
	}
	retryAfter, ok = r.chargeQuota(false)
	if ok {
		r.server.quota.metrics.admitted.Inc(1)
	}
	return retryAfter, ok
}

// renewQuota charges the request again if it has waited so long that its charge has expired. Otherwise requests of several
// seconds could arrive at endpoints at the same time.
func (r *clientRequest) renewQuota() (retryAfter time.Duration, ok bool) {
	if r.charge.Cost == 0 || r.mayHaveRun || timing.SinceBoot() < r.charge.Expires {
		return 0, true
	}
	r.server.quota.metrics.renewed.Inc(1)
	return r.chargeQuota(true)
}

func (r *clientRequest) chargeQuota(again bool) (retryAfter time.Duration, ok bool) {
	w := r.workspace
	cost := w.Quota.Cost(r.request.StatedTokens, r.request.HasStatedTokens)
	left := time.Until(r.deadline)
	maxWait := time.Duration(float64(left) * maxQuotaWaitShare)
	d := r.server.quota.take(r.ctx, quota.KeyOf(w.Name), cost, left/patienceDivisor, maxWait, again)
	r.charge = d.Charge
	if d.Admitted {
		return 0, true
	}
	r.overQuota = true
	r.log = r.log.With(zap.Float64("cost", cost))
	r.server.quota.metrics.rejected.Inc(1)
	return d.RetryAfter, false
}

// refundQuota returns the charge of a request that no endpoint has run.
func (r *clientRequest) refundQuota() {
	if !r.mayHaveRun && r.charge.Cost > 0 {
		r.server.quota.refund(r.charge)
	}
}

// refusalStatus is the status of a refusal: the request has not run in either case.
func (r *clientRequest) refusalStatus() int {
	if r.overQuota {
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusServiceUnavailable
}
