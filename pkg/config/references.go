package config

import "slices"

// table has the records of one validation, indexed by record id.
type table struct {
	decodedRecords []*decodedRecord
	byID           map[RecordID]*decodedRecord
	// skipInvalid excludes invalid records, which are not used, from the checks for unique values.
	skipInvalid bool
}

// newTable decodes the records and reports duplicates. byID has the first record of an id.
func newTable(raw []RawRecord, readerVersion int) *table {
	t := &table{byID: make(map[RecordID]*decodedRecord, len(raw))}
	for _, r := range raw {
		t.add(decodeRecord(r, readerVersion))
	}
	t.checkDeployments()
	return t
}

// checkUnique reports values that must be unique among records but are not.
func (t *table) checkUnique() {
	t.checkModelIDs()
	t.checkKeys()
	t.checkURLs()
}

func (t *table) skips(e *decodedRecord) bool {
	return t.skipInvalid && !e.valid()
}

func (t *table) add(e *decodedRecord) {
	t.decodedRecords = append(t.decodedRecords, e)
	if e.record == nil || e.raw.Name == "" {
		return
	}
	if first, duplicate := t.byID[e.raw.RecordID]; duplicate {
		e.report(fieldName, "is already used by the %s at %s%s", e.raw.Kind, first.raw.File, first.raw.Pointer)
		return
	}
	t.byID[e.raw.RecordID] = e
}

// checkDeployments reports every deployment after the first one.
func (t *table) checkDeployments() {
	var first *decodedRecord
	for _, e := range t.decodedRecords {
		if e.raw.Kind != KindDeployment {
			continue
		}
		if first != nil && first.raw.Name != e.raw.Name {
			e.report(fieldKind, "there must be exactly one Deployment; the first is %q", first.raw.Name)
		}
		if first == nil {
			first = e
		}
	}
}

// checkModelIDs reports adapters that have the name of a model, since callers use both names as model ids.
func (t *table) checkModelIDs() {
	for id, e := range t.byID {
		if id.Kind != KindAdapter || t.skips(e) {
			continue
		}
		if model := t.byID[RecordID{Kind: KindModel, Name: id.Name}]; model != nil && !t.skips(model) {
			e.report(fieldName, "is already used by a Model; models and adapters share one set of names")
		}
	}
}

// checkKeys reports keys that two members declare, since the member of a call would be ambiguous.
func (t *table) checkKeys() {
	owners := make(map[KeyHash]string)
	for _, e := range t.decodedRecords {
		m, ok := e.record.(*Member)
		if !ok || t.skips(e) {
			continue
		}
		for i, key := range m.Keys {
			if owner, duplicate := owners[key]; duplicate && key.Hash != "" {
				e.reportUnquoted([]any{"keys", i}, "is already declared by member %q", owner)
			}
			owners[key] = m.Name
		}
	}
}

// checkURLs reports endpoints with the same URL, since their memory would be counted twice.
func (t *table) checkURLs() {
	owners := make(map[string]string)
	for _, e := range t.decodedRecords {
		p, ok := e.record.(*Endpoint)
		if !ok || p.URL == "" || t.skips(e) {
			continue
		}
		if owner, duplicate := owners[p.URL]; duplicate {
			e.report("url", "is already used by endpoint %q", owner)
			continue
		}
		owners[p.URL] = p.Name
	}
}

// reference is a reference from one record to another by name.
type reference struct {
	id   RecordID
	path []any
	// listElement is true for an element of a list, which can be removed while the record stays valid.
	listElement bool
}

func (e *decodedRecord) references() []reference {
	switch r := e.record.(type) {
	case *Service:
		return memberReferences(r.Members)
	case *Endpoint:
		return []reference{
			{id: RecordID{KindService, r.Service}, path: []any{"service"}},
			{id: RecordID{KindDataCentre, r.DataCentre}, path: []any{"dataCentre"}},
		}
	case *Model:
		refs := []reference{{id: RecordID{KindService, r.Service}, path: []any{"service"}}}
		return append(refs, memberReferences(r.Members)...)
	case *Adapter:
		refs := []reference{{id: RecordID{KindModel, r.Model}, path: []any{"model"}}}
		return append(refs, memberReferences(r.Members)...)
	default:
		return nil
	}
}

func memberReferences(members []string) []reference {
	refs := make([]reference, len(members))
	for i, name := range members {
		refs[i] = reference{id: RecordID{KindMember, name}, path: []any{"members", i}, listElement: true}
	}
	return refs
}

// checkServiceType reports a model of a plain service, an endpoint of a plain service that has accelerators, and an
// endpoint of an engine service that has none.
func (t *table) checkServiceType(e *decodedRecord) {
	switch r := e.record.(type) {
	case *Endpoint:
		service, ok := t.service(r.Service)
		if !ok {
			return
		}
		if service.Type == EngineService && len(r.Accelerators) == 0 {
			e.report("accelerators", "must have at least one accelerator on an endpoint of an engine service")
		}
		if service.Type == PlainService && len(r.Accelerators) > 0 {
			e.report("accelerators", "must be absent on an endpoint of a plain service")
		}
	case *Model:
		service, ok := t.service(r.Service)
		if ok && service.Type == PlainService {
			e.report("service", "must be an engine service")
		}
	}
}

func (t *table) service(name string) (*Service, bool) {
	e := t.byID[RecordID{KindService, name}]
	if e == nil {
		return nil, false
	}
	service, ok := e.record.(*Service)
	return service, ok
}

// removeMember replaces the record by a copy whose list of members lacks the name.
func (e *decodedRecord) removeMember(name string) {
	without := func(members []string) []string {
		return slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == name })
	}
	switch r := e.record.(type) {
	case *Service:
		changed := *r
		changed.Members = without(r.Members)
		e.record = &changed
	case *Model:
		changed := *r
		changed.Members = without(r.Members)
		e.record = &changed
	case *Adapter:
		changed := *r
		changed.Members = without(r.Members)
		e.record = &changed
	}
}
