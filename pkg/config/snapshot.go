package config

import (
	"slices"
	"sort"
	"time"
)

// Records are the declarations of one configuration revision, grouped by kind.
type Records struct {
	Deployment  Deployment
	DataCentres []DataCentre
	Members     []Member
	Services    []Service
	Endpoints   []Endpoint
	Models      []Model
	Adapters    []Adapter
}

// Snapshot is an immutable, indexed view of the declarations at one revision. It is safe for concurrent use. Callers
// must not modify the values that its methods return.
type Snapshot struct {
	// Revision is the revision of the configuration head. It never decreases.
	Revision int64
	// CommittedAt is the time at which the configuration was accepted.
	CommittedAt time.Time

	records     Records
	dataCentres map[string]*DataCentre
	members     map[string]*Member
	services    map[string]*Service
	endpoints   map[string]*Endpoint
	models      map[string]*Model
	adapters    map[string]*Adapter

	endpointsByService map[string][]*Endpoint
	adaptersByModel    map[string][]*Adapter
	modelsByService    map[string][]*Model
	keysByPrefix       map[string][]keyOwner
}

type keyOwner struct {
	member *Member
	key    KeyHash
}

// NewSnapshot returns a snapshot of validated records.
func NewSnapshot(revision int64, committedAt time.Time, records Records) *Snapshot {
	s := &Snapshot{
		Revision:           revision,
		CommittedAt:        committedAt,
		records:            records,
		dataCentres:        make(map[string]*DataCentre, len(records.DataCentres)),
		members:            make(map[string]*Member, len(records.Members)),
		services:           make(map[string]*Service, len(records.Services)),
		endpoints:          make(map[string]*Endpoint, len(records.Endpoints)),
		models:             make(map[string]*Model, len(records.Models)),
		adapters:           make(map[string]*Adapter, len(records.Adapters)),
		endpointsByService: make(map[string][]*Endpoint),
		adaptersByModel:    make(map[string][]*Adapter),
		modelsByService:    make(map[string][]*Model),
		keysByPrefix:       make(map[string][]keyOwner),
	}
	s.indexTopology()
	s.indexMembers()
	s.indexModels()
	return s
}

func (s *Snapshot) indexTopology() {
	for i := range s.records.DataCentres {
		d := &s.records.DataCentres[i]
		s.dataCentres[d.Name] = d
	}
	for i := range s.records.Services {
		v := &s.records.Services[i]
		s.services[v.Name] = v
	}
	for i := range s.records.Endpoints {
		e := &s.records.Endpoints[i]
		s.endpoints[e.Name] = e
		s.endpointsByService[e.Service] = append(s.endpointsByService[e.Service], e)
	}
}

func (s *Snapshot) indexMembers() {
	for i := range s.records.Members {
		m := &s.records.Members[i]
		s.members[m.Name] = m
		for _, k := range m.Keys {
			s.keysByPrefix[k.Prefix] = append(s.keysByPrefix[k.Prefix], keyOwner{member: m, key: k})
		}
	}
}

func (s *Snapshot) indexModels() {
	for i := range s.records.Models {
		m := &s.records.Models[i]
		s.models[m.Name] = m
		s.modelsByService[m.Service] = append(s.modelsByService[m.Service], m)
	}
	for i := range s.records.Adapters {
		a := &s.records.Adapters[i]
		s.adapters[a.Name] = a
		s.adaptersByModel[a.Model] = append(s.adaptersByModel[a.Model], a)
	}
}

// Records returns all records.
func (s *Snapshot) Records() Records { return s.records }

// Deployment returns the deployment record.
func (s *Snapshot) Deployment() *Deployment { return &s.records.Deployment }

// DataCentre returns the named data centre, or nil.
func (s *Snapshot) DataCentre(name string) *DataCentre { return s.dataCentres[name] }

// Region returns the region of a data centre, or an empty string if the data centre is unknown.
func (s *Snapshot) Region(dataCentre string) string {
	d := s.dataCentres[dataCentre]
	if d == nil {
		return ""
	}
	return d.Region
}

// Member returns the named member, or nil.
func (s *Snapshot) Member(name string) *Member { return s.members[name] }

// Service returns the named service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Endpoint returns the named endpoint, or nil.
func (s *Snapshot) Endpoint(name string) *Endpoint { return s.endpoints[name] }

// Model returns the named model, or nil.
func (s *Snapshot) Model(name string) *Model { return s.models[name] }

// Adapter returns the named adapter, or nil.
func (s *Snapshot) Adapter(name string) *Adapter { return s.adapters[name] }

// EndpointsOf returns the endpoints of a service.
func (s *Snapshot) EndpointsOf(service string) []*Endpoint { return s.endpointsByService[service] }

// ModelsOf returns the models of an engine service.
func (s *Snapshot) ModelsOf(service string) []*Model { return s.modelsByService[service] }

// AdaptersOf returns the adapters of a model.
func (s *Snapshot) AdaptersOf(model string) []*Adapter { return s.adaptersByModel[model] }

// ModelIDsFor returns the sorted ids of models and adapters that a member may call.
func (s *Snapshot) ModelIDsFor(member string) []string {
	var ids []string
	for i := range s.records.Models {
		if slices.Contains(s.records.Models[i].Members, member) {
			ids = append(ids, s.records.Models[i].Name)
		}
	}
	for i := range s.records.Adapters {
		if slices.Contains(s.records.Adapters[i].Members, member) {
			ids = append(ids, s.records.Adapters[i].Name)
		}
	}
	sort.Strings(ids)
	return ids
}

// MayCall reports whether the member may call the model.
func (m *Model) MayCall(member string) bool { return slices.Contains(m.Members, member) }

// MayCall reports whether the member may call the adapter.
func (a *Adapter) MayCall(member string) bool { return slices.Contains(a.Members, member) }

// MayCall reports whether the member may call the plain service.
func (s *Service) MayCall(member string) bool { return slices.Contains(s.Members, member) }
