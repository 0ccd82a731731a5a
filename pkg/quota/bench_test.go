package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest is the time to decide on a request that a credit covers.
func BenchmarkRequest(b *testing.B) {
	account, pool, now := pair(1e15, 1e15)
	for range 10 {
		account.Admit(testWorkspace, 1e9, 0, now)
	}
	exchangeAll(account, pool, now)
	w := account.workspaces[testWorkspace]
	w.credits = []credit{{amount: 1e15, expires: now + creditTime}}
	b.ReportAllocs()
	for b.Loop() {
		if d := account.Admit(testWorkspace, 1, 0, now); !d.Admitted {
			b.Fatal("not covered")
		}
	}
}

// BenchmarkCoordinator is the time that a coordinator needs for one request, with decoding and encoding.
func BenchmarkCoordinator(b *testing.B) {
	for _, instances := range []int{63, 390} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			pool := NewPool(22)
			limits := Limits{Of: make(map[Key]Limit)}
			var demands []Demand
			for i := range 16 {
				limits.Of[Key(i)] = Limit{Rate: 1e9, Burst: 1e9}
				if i < 3 {
					demands = append(demands, Demand{Workspace: Key(i), Costs: []int64{2750}})
				}
			}
			pool.Configure(limits, 0)
			now, number := time.Duration(0), int64(0)
			b.ReportAllocs()
			for b.Loop() {
				number++
				now += time.Millisecond
				m := Message{Request: &Request{
					Epoch: 11, Number: number, CoordinatorEpoch: 22, CoordinatorTime: now, LentFor: time.Second, Instances: instances, Demands: demands,
				}}
				received, err := Decode(m.Encode())
				if err != nil {
					b.Fatal(err)
				}
				answer := pool.Receive(fmt.Sprint("edge-", number%int64(instances)), received.Request, instances, now)
				(&Message{Answer: answer}).Encode()
			}
		})
	}
}

// BenchmarkTraffic reports the messages and bytes per second at usual demand: of an instance in one direction, of the
// coordinator in both, and those between two regions in both.
func BenchmarkTraffic(b *testing.B) {
	for _, instances := range sizes {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			const length = 10 * time.Second
			messages, bytes, offered := 0, 0, 0
			runs := 0
			for b.Loop() {
				limits := typicalLimits(instances)
				s := newSimulation(b, instances, limits, 1)
				s.rate = usualDemand(limits)
				s.runUntil(clientsStart)
				s.startClients()
				s.reset()
				s.runUntil(s.now + length)
				messages, bytes, runs = messages+s.messages, bytes+s.bytes, runs+1
				for w := range s.stats {
					offered += s.stats[w].offered
				}
			}
			perSecond := 1 / length.Seconds() / float64(runs)
			b.ReportMetric(float64(messages)*perSecond/2/float64(instances), "messages/s/instance")
			b.ReportMetric(float64(bytes)*perSecond/float64(instances), "B/s/instance")
			b.ReportMetric(float64(messages)*perSecond, "messages/s/coordinator")
			b.ReportMetric(float64(bytes)*perSecond, "B/s/coordinator")
			b.ReportMetric(float64(offered)*perSecond, "requests/s")
		})
	}
}
