package config

import (
	"slices"
	"sort"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// CheckCapacity reports models whose minimum number of copies does not fit the accelerators of the service's endpoints,
// and adapters that do not fit beside a copy of their model. Copies are packed largest first, each into the first
// endpoint with enough free memory and without a copy of the model. An adapter is packed beside a copy of its model.
// Leaving endpoints are ignored. The raw records only give the locations of findings.
func CheckCapacity(records Records, raw []RawRecord) findings.List {
	rawByID := make(map[RecordID]RawRecord, len(raw))
	for _, r := range raw {
		rawByID[r.RecordID] = r
	}
	c := capacityCheck{rawByID: rawByID}
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

// CopyBytesPerAccelerator returns the memory that a copy of the model uses on each of its accelerators.
func (m *Model) CopyBytesPerAccelerator() int64 {
	return PerAccelerator(m.WeightBytes, m.AcceleratorsPerCopy) + PerAccelerator(m.KVReserveBytes, m.AcceleratorsPerCopy)
}

type capacityCheck struct {
	rawByID map[RecordID]RawRecord
	found   findings.List
}

// bin is the state of an endpoint during packing.
type bin struct {
	freeBytes []int64
	// copies has, by model name, the indexes of the accelerators of the model's copy.
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
			b.freeBytes = append(b.freeBytes, a.MemoryBytes)
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
	needBytes := m.CopyBytesPerAccelerator()
	placed := 0
	for _, b := range bins {
		if placed == m.MinCopies {
			return
		}
		chosen := b.findAccelerators(needBytes, m.AcceleratorsPerCopy)
		if chosen == nil {
			continue
		}
		b.reserve(chosen, needBytes)
		b.copies[m.Name] = chosen
		placed++
	}
	if placed == m.MinCopies {
		return
	}
	maxFree, endpoints := maxFreeBytes(bins, m)
	c.report(RecordID{KindModel, m.Name}, "minCopies",
		"%d of %d copies fit: a copy takes %d bytes on each of %d accelerator(s) of one endpoint ((weights %d + KV "+
			"reserve %d) / %d); the largest memory that is free on each of that many accelerators of one of the %d endpoint(s) of service %s without a copy is %d bytes",
		placed, m.MinCopies, needBytes, m.AcceleratorsPerCopy, m.WeightBytes, m.KVReserveBytes, m.AcceleratorsPerCopy,
		endpoints, m.Service, maxFree)
}

func (c *capacityCheck) packAdapter(bins []*bin, a *Adapter) {
	var maxFree, needBytes int64
	copies := 0
	for _, b := range bins {
		chosen := b.copies[a.Model]
		if chosen == nil {
			continue
		}
		copies++
		needBytes = PerAccelerator(a.Bytes, len(chosen))
		free := b.minFreeBytes(chosen)
		if free >= needBytes {
			b.reserve(chosen, needBytes)
			return
		}
		maxFree = max(maxFree, free)
	}
	if copies == 0 {
		// The finding about the model states why it has no copy.
		return
	}
	c.report(RecordID{KindAdapter, a.Name}, "bytes",
		"does not fit: it takes %d bytes on each accelerator of a copy of model %s; the largest free memory beside "+
			"the %d packed copies and the larger adapters is %d bytes", needBytes, a.Model, copies, maxFree)
}

func (c *capacityCheck) report(id RecordID, field, format string, args ...any) {
	e := decodedRecord{raw: c.rawByID[id]}
	if e.raw.Fields == nil {
		e.raw = RawRecord{RecordID: id, Pointer: "/" + id.String()}
	}
	e.report(field, format, args...)
	c.found.Append(e.found)
}

// findAccelerators returns the indexes of the first accelerators with needBytes of free memory, or nil if there are too
// few.
func (b *bin) findAccelerators(needBytes int64, accelerators int) []int {
	var chosen []int
	for i, freeBytes := range b.freeBytes {
		if freeBytes >= needBytes && len(chosen) < accelerators {
			chosen = append(chosen, i)
		}
	}
	if len(chosen) < accelerators {
		return nil
	}
	return chosen
}

func (b *bin) reserve(accelerators []int, needBytes int64) {
	for _, i := range accelerators {
		b.freeBytes[i] -= needBytes
	}
}

func (b *bin) minFreeBytes(accelerators []int) int64 {
	least := b.freeBytes[accelerators[0]]
	for _, i := range accelerators {
		least = min(least, b.freeBytes[i])
	}
	return least
}

// maxFreeBytes returns the largest memory that is free on each of AcceleratorsPerCopy accelerators of one endpoint
// without a copy of the model, and the number of the endpoints without a copy.
func maxFreeBytes(bins []*bin, m *Model) (maxFree int64, endpoints int) {
	for _, b := range bins {
		if b.copies[m.Name] != nil {
			continue
		}
		endpoints++
		if len(b.freeBytes) < m.AcceleratorsPerCopy {
			continue
		}
		freeBytes := slices.Clone(b.freeBytes)
		slices.Sort(freeBytes)
		maxFree = max(maxFree, freeBytes[len(freeBytes)-m.AcceleratorsPerCopy])
	}
	return maxFree, endpoints
}
