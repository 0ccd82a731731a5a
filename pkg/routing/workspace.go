package routing

// Workspace is a group of callers that share API keys, a priority and a quota.
type Workspace struct {
	Name string
	// Priority takes precedence over the priority of the route; nil means that the route's applies.
	Priority *int
	Quota    Quota
}

// QuotaUnit is what a quota counts.
type QuotaUnit int

const (
	// CountRequests charges 1 for each request.
	CountRequests QuotaUnit = iota
	// CountTokens charges the prompt tokens and the maximum number of output tokens of a request.
	CountTokens
)

// Quota bounds the requests of a workspace over all instances together, as a token bucket.
type Quota struct {
	Unit QuotaUnit
	// PlainCost is what a request without token counts costs if Unit is CountTokens.
	PlainCost float64
	// RatePerSecond refills the bucket, Burst is its capacity. A rate of zero means that there is no limit.
	RatePerSecond float64
	Burst         float64
}

// Limited reports whether the quota bounds anything.
func (q *Quota) Limited() bool {
	return q.RatePerSecond > 0
}

// Cost returns what a request costs. Tokens is the sum of its prompt and output tokens; hasTokens is false if the request
// does not state them.
func (q *Quota) Cost(tokens int, hasTokens bool) float64 {
	switch {
	case q.Unit == CountRequests:
		return 1
	case !hasTokens:
		return q.PlainCost
	}
	return float64(tokens)
}
