package edge

import (
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/residency"
)

func encodeHandover(h *residency.Handover, now time.Time) *exchange.HandoverDoc {
	doc := &exchange.HandoverDoc{FencingToken: h.FencingToken, Ordered: h.Ordered}
	for _, l := range h.Loading {
		doc.Loading = append(doc.Loading, exchange.HandoverLoadDoc{
			Endpoint: l.Endpoint, Model: l.Model, ReadyMs: l.ReadyAt.Sub(now).Milliseconds(),
		})
	}
	for _, age := range h.StoreLoadAges {
		doc.LoadAgesMs = append(doc.LoadAgesMs, age.Milliseconds())
	}
	return doc
}

func decodeHandover(doc *exchange.HandoverDoc, now time.Time) residency.Handover {
	h := residency.Handover{FencingToken: doc.FencingToken, Ordered: doc.Ordered}
	for _, l := range doc.Loading {
		h.Loading = append(h.Loading, residency.Loading{
			Endpoint: l.Endpoint, Model: l.Model, ReadyAt: now.Add(time.Duration(l.ReadyMs) * time.Millisecond),
		})
	}
	for _, ms := range doc.LoadAgesMs {
		h.StoreLoadAges = append(h.StoreLoadAges, time.Duration(ms)*time.Millisecond)
	}
	return h
}
