// Package quota decides which requests fit the quotas of workspaces, over all instances together. Each instance owns an
// equal portion of every quota and lends it to a coordinator, which pools the portions and grants them as short-lived
// credits. The package has no network, no clock and no goroutines: callers pass the time, as time since boot, so that
// suspended time counts, and deliver the messages. docs/design/quota.md describes the protocol.
package quota

import (
	"hash/fnv"
	"time"
)

// Key identifies a workspace in messages.
type Key uint32

// KeyOf returns the key of a workspace's name.
func KeyOf(name string) Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return Key(h.Sum32())
}

// Limit is the quota of one workspace over all instances.
type Limit struct {
	Rate  float64
	Burst float64
}

// Limits are the quotas of one configuration. Workspaces without a limit are not listed.
type Limits struct {
	Version int64
	Of      map[Key]Limit
}

// Request is sent by an instance to its coordinator.
type Request struct {
	// Epoch identifies the process of the sender, Number this request. Numbers increase.
	Epoch  int64
	Number int64
	// Version is the configuration of the sender.
	Version int64
	// CoordinatorEpoch and CoordinatorTime repeat those of the newest answer of the recipient. They are zero before the
	// first one.
	CoordinatorEpoch int64
	CoordinatorTime  time.Duration
	// LentFor is how long after CoordinatorTime the recipient may use the sender's portion; zero leaves the loan as it is.
	LentFor time.Duration
	// Instances is the number of instances that own portions. The sender's portion is the inverse.
	Instances int
	Demands   []Demand
}

// Demand is what a sender needs for one workspace.
type Demand struct {
	Workspace Key
	// Costs are those of the waiting requests, oldest first.
	Costs []int64
	// Advance is the cost expected within the lifetime of a credit, beyond Costs.
	Advance int64
	// Patience is how far in the future a rejected request may return.
	Patience time.Duration
	// Used is the cost of the requests admitted since the start of the process.
	Used int64
}

// Answer is a coordinator's reply to a Request.
type Answer struct {
	// Epoch and Time identify the process of the coordinator and its time.
	Epoch int64
	Time  time.Duration
	// RequestEpoch and Request are the Epoch and Number of the request.
	RequestEpoch int64
	Request      int64
	Version      int64
	// Instances is the number of instances that the coordinator counts itself.
	Instances int
	// Share is the share of all portions that is lent to the coordinator, in millionths.
	Share  int64
	Grants []Grant
	// Usage is sent at intervals only.
	Usage []Usage
}

// Grant is a credit for one workspace.
type Grant struct {
	Workspace Key
	Amount    int64
	// Wait is when the first request that was not covered will fit; zero if all were covered.
	Wait time.Duration
	// Rate is the limit's rate in the coordinator's configuration. It is set only if that differs from the sender's.
	Rate float64
}

// Usage is the cost per second that all instances together admit for a workspace.
type Usage struct {
	Workspace Key
	PerSecond int64
}

// Message is either a Request or an Answer.
type Message struct {
	Request *Request
	Answer  *Answer
}

// bucket is a token bucket.
type bucket struct {
	level   float64
	updated time.Duration
}

// refill adds the tokens since the previous call. A lower capacity takes effect at once.
func (b *bucket) refill(limit Limit, share float64, now time.Duration) {
	if now > b.updated {
		b.level += limit.Rate * share * (now - b.updated).Seconds()
		b.updated = now
	}
	b.level = min(b.level, limit.Burst*share)
}

// take removes a cost if the level afterwards is at least -debt, and returns whether it did. A debt is made only while the
// level is not negative, so that a bucket without a debt covers at most one request more than its level. Without a debt,
// small requests would use up the level of an exhausted bucket before it ever covers a large one.
func (b *bucket) take(cost, debt float64) bool {
	if b.level < 0 || b.level-cost < -debt {
		return false
	}
	b.level -= cost
	return true
}
