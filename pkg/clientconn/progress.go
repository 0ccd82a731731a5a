package clientconn

import "time"

// Progress moves the deadline of a body as its bytes arrive: each period must bring a minimum, or the end of the body.
type Progress struct {
	setDeadline func(time.Duration)
	period      time.Duration
	need        int
	got         int
	began       time.Time
}

// BeginProgress begins the first period. setDeadline sets the deadline of reads as the time from now.
func BeginProgress(setDeadline func(time.Duration), period time.Duration, minBytesPerSecond int) *Progress {
	setDeadline(period)
	need := int(float64(minBytesPerSecond) * period.Seconds())
	return &Progress{setDeadline: setDeadline, period: period, need: max(need, 1), began: time.Now()}
}

// minPeriodDivisor divides the period. The deadline is not moved again before that time, so that a fast body costs few
// calls.
const minPeriodDivisor = 8

// Add records bytes that have arrived.
func (p *Progress) Add(n int) {
	p.got += n
	if p.got < p.need {
		return
	}
	now := time.Now()
	if now.Sub(p.began) < p.period/minPeriodDivisor {
		p.got = p.need
		return
	}
	p.got, p.began = 0, now
	p.setDeadline(p.period)
}
