package config

import (
	"slices"
	"sort"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// CheckCapacity reports models whose minimum copies, and adapters of which one copy, do not fit the accelerators of the
// service's endpoints. Copies are packed largest first into the first endpoint with room; copies of one model go to
// different endpoints; an adapter goes where a copy of its model is. Leaving endpoints do not count. Raw records only
// locate the findings.
func CheckCapacity(records Records, raw []RawRecord) findings.List {
	located := make(map[RecordID]RawRecord, len(raw))
	for _, r := range raw {
		located[r.RecordID] = r
	}
	c := capacityCheck{located: located}
	for i := range records.Services {
		if records.Services[i].Type == EngineService {
			c.checkService(&records, records.Services[i].Name)
		}
	}
	return c.found
}

// PerAccelerator divides bytes evenly among accelerators, rounded up.
func PerAccelerator(bytes int64, accelerators int) int64 {
	n := int64(accelerators)
	return (bytes + n - 1) / n
}

// CopyBytesPerAccelerator is the memory that a copy of the model takes on each of its accelerators.
func (m *Model) CopyBytesPerAccelerator() int64 {
	return PerAccelerator(m.WeightBytes, m.AcceleratorsPerCopy) + PerAccelerator(m.KVReserveBytes, m.AcceleratorsPerCopy)
}

type capacityCheck struct {
	located map[RecordID]RawRecord
	found   findings.List
}

// bin is an endpoint during packing.
type bin struct {
	free []int64
	// copies has the accelerators of each model's copy.
	copies map[string][]int
}

func (c *capacityCheck) checkService(records *Records, service string) {
	bins := binsOf(records, service)
	models := modelsOf(records, service)
	for _, m := range models {
		c.packModel(bins, m)
	}
	for _, a := range adaptersOf(records, models) {
		c.packAdapter(bins, a)
	}
}

func binsOf(records *Records, service string) []*bin {
	var bins []*bin
	for i := range records.Endpoints {
		e := &records.Endpoints[i]
		if e.Service != service || e.Leaving {
			continue
		}
		b := &bin{copies: make(map[string][]int)}
		for _, a := range e.Accelerators {
			b.free = append(b.free, a.MemoryBytes)
		}
		bins = append(bins, b)
	}
	return bins
}

func modelsOf(records *Records, service string) []*Model {
	var models []*Model
	for i := range records.Models {
		if records.Models[i].Service == service {
			models = append(models, &records.Models[i])
		}
	}
	size := func(m *Model) int64 { return m.CopyBytesPerAccelerator() * int64(m.AcceleratorsPerCopy) }
	sort.SliceStable(models, func(i, j int) bool { return size(models[i]) > size(models[j]) })
	return models
}

func adaptersOf(records *Records, models []*Model) []*Adapter {
	var adapters []*Adapter
	for i := range records.Adapters {
		a := &records.Adapters[i]
		if slices.ContainsFunc(models, func(m *Model) bool { return m.Name == a.Model }) {
			adapters = append(adapters, a)
		}
	}
	sort.SliceStable(adapters, func(i, j int) bool { return adapters[i].Bytes > adapters[j].Bytes })
	return adapters
}

func (c *capacityCheck) packModel(bins []*bin, m *Model) {
	need := m.CopyBytesPerAccelerator()
	placed := 0
	for _, b := range bins {
		if placed == m.MinCopies {
			return
		}
		chosen := b.withRoom(need, m.AcceleratorsPerCopy)
		if chosen == nil {
			continue
		}
		b.take(chosen, need)
		b.copies[m.Name] = chosen
		placed++
	}
	if placed == m.MinCopies {
		return
	}
	free, endpoints := mostFree(bins, m)
	c.add(RecordID{KindModel, m.Name}, "minCopies",
		"%d of %d copies fit: a copy takes %d bytes on each of %d accelerator(s) of one endpoint ((weights %d + KV "+
			"reserve %d) / %d); the most that is free so on the %d endpoint(s) of service %s without a copy is %d bytes",
		placed, m.MinCopies, need, m.AcceleratorsPerCopy, m.WeightBytes, m.KVReserveBytes, m.AcceleratorsPerCopy,
		endpoints, m.Service, free)
}

func (c *capacityCheck) packAdapter(bins []*bin, a *Adapter) {
	var most, need int64
	copies := 0
	for _, b := range bins {
		chosen := b.copies[a.Model]
		if chosen == nil {
			continue
		}
		copies++
		need = PerAccelerator(a.Bytes, len(chosen))
		free := b.leastFree(chosen)
		if free >= need {
			b.take(chosen, need)
			return
		}
		most = max(most, free)
	}
	if copies == 0 {
		// The model's own finding says why it has no copy.
		return
	}
	c.add(RecordID{KindAdapter, a.Name}, "bytes",
		"does not fit: it takes %d bytes on each accelerator of a copy of model %s; the most that is free beside the "+
			"%d packed copies and the larger adapters is %d bytes", need, a.Model, copies, most)
}

func (c *capacityCheck) add(id RecordID, field, format string, args ...any) {
	e := entry{raw: c.located[id]}
	if e.raw.Fields == nil {
		e.raw = RawRecord{RecordID: id, Pointer: "/" + id.String()}
	}
	e.add(field, format, args...)
	c.found.Append(e.found)
}

// withRoom returns the first accelerators with enough free memory, or nil.
func (b *bin) withRoom(need int64, accelerators int) []int {
	var chosen []int
	for i, free := range b.free {
		if free >= need && len(chosen) < accelerators {
			chosen = append(chosen, i)
		}
	}
	if len(chosen) < accelerators {
		return nil
	}
	return chosen
}

func (b *bin) take(accelerators []int, need int64) {
	for _, i := range accelerators {
		b.free[i] -= need
	}
}

func (b *bin) leastFree(accelerators []int) int64 {
	least := b.free[accelerators[0]]
	for _, i := range accelerators {
		least = min(least, b.free[i])
	}
	return least
}

// mostFree returns the largest memory that is free on every one of a copy's accelerators, over endpoints without a copy
// of the model, and the number of these endpoints.
func mostFree(bins []*bin, m *Model) (most int64, endpoints int) {
	for _, b := range bins {
		if b.copies[m.Name] != nil {
			continue
		}
		endpoints++
		if len(b.free) < m.AcceleratorsPerCopy {
			continue
		}
		free := slices.Clone(b.free)
		slices.Sort(free)
		most = max(most, free[len(free)-m.AcceleratorsPerCopy])
	}
	return most, endpoints
}
