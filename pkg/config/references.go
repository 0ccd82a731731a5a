package config

import "slices"

// table holds the entries of a validation by id.
type table struct {
	entries []*entry
	byID    map[RecordID]*entry
	// onlyValid leaves records that are not used anyway out of the checks for values used twice.
	onlyValid bool
}

// newTable decodes the records and reports duplicates, of which the first one stays.
func newTable(raw []RawRecord, reader int) *table {
	t := &table{byID: make(map[RecordID]*entry, len(raw))}
	for _, r := range raw {
		t.add(decodeRecord(r, reader))
	}
	t.checkDeployments()
	return t
}

// checkUnique reports values that two records may not share.
func (t *table) checkUnique() {
	t.checkModelIDs()
	t.checkKeys()
	t.checkURLs()
}

func (t *table) skips(e *entry) bool {
	return t.onlyValid && !e.valid()
}

func (t *table) add(e *entry) {
	t.entries = append(t.entries, e)
	if e.record == nil || e.raw.Name == "" {
		return
	}
	if first, taken := t.byID[e.raw.RecordID]; taken {
		e.add(fieldName, "is already used by the %s at %s%s", e.raw.Kind, first.raw.File, first.raw.Pointer)
		return
	}
	t.byID[e.raw.RecordID] = e
}

// checkDeployments reports every deployment after the first.
func (t *table) checkDeployments() {
	var first *entry
	for _, e := range t.entries {
		if e.raw.Kind != KindDeployment {
			continue
		}
		if first != nil && first.raw.Name != e.raw.Name {
			e.add(fieldKind, "there must be exactly one Deployment; the first is %q", first.raw.Name)
		}
		if first == nil {
			first = e
		}
	}
}

// checkModelIDs reports adapters that share a name with a model, since callers name both as model ids.
func (t *table) checkModelIDs() {
	for id, e := range t.byID {
		if id.Kind != KindAdapter || t.skips(e) {
			continue
		}
		if model := t.byID[RecordID{Kind: KindModel, Name: id.Name}]; model != nil && !t.skips(model) {
			e.add(fieldName, "is already used by a Model; models and adapters share one set of names")
		}
	}
}

// checkKeys reports a key that two members declare, which would make the owner of a call ambiguous.
func (t *table) checkKeys() {
	owners := make(map[KeyHash]string)
	for _, e := range t.entries {
		m, ok := e.record.(*Member)
		if !ok || t.skips(e) {
			continue
		}
		for i, key := range m.Keys {
			if owner, taken := owners[key]; taken && key.Hash != "" {
				e.addHidden([]any{"keys", i}, "is already declared by member %q", owner)
			}
			owners[key] = m.Name
		}
	}
}

// checkURLs reports two endpoints with one URL, whose memory would be counted twice.
func (t *table) checkURLs() {
	owners := make(map[string]string)
	for _, e := range t.entries {
		p, ok := e.record.(*Endpoint)
		if !ok || p.URL == "" || t.skips(e) {
			continue
		}
		if owner, taken := owners[p.URL]; taken {
			e.add("url", "is already used by endpoint %q", owner)
			continue
		}
		owners[p.URL] = p.Name
	}
}

// reference is a use of another record's name.
type reference struct {
	id   RecordID
	path []any
	// listed is true for an element of a list, which can be left out without dropping the record.
	listed bool
}

func (e *entry) references() []reference {
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
		refs[i] = reference{id: RecordID{KindMember, name}, path: []any{"members", i}, listed: true}
	}
	return refs
}

// checkServiceType reports engine parts on plain services and the reverse.
func (t *table) checkServiceType(e *entry) {
	switch r := e.record.(type) {
	case *Endpoint:
		service, ok := t.service(r.Service)
		if !ok {
			return
		}
		if service.Type == EngineService && len(r.Accelerators) == 0 {
			e.add("accelerators", "must have at least one accelerator on an endpoint of an engine service")
		}
		if service.Type == PlainService && len(r.Accelerators) > 0 {
			e.add("accelerators", "must be absent on an endpoint of a plain service")
		}
	case *Model:
		service, ok := t.service(r.Service)
		if ok && service.Type == PlainService {
			e.add("service", "must be an engine service")
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

// dropMember replaces the record by one whose list of members lacks a name.
func (e *entry) dropMember(name string) {
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
