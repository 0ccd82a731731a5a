// Package testbed runs stand-ins for the external services of a deployment on loopback: the key-value store and the
// declared endpoints. It does not start daemons.
package testbed

import (
	"context"
	"io/fs"
	"maps"
	"net"
	"path"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/internal/standin/service"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	enginetypes "github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

// Options configure a Testbed.
type Options struct {
	// Declarations contains Folder, the folder with the JSON declaration files of the deployment.
	Declarations fs.FS
	Folder       string
	// Engine returns the options of an engine. The testbed sets the field Memory.
	Engine func(endpoint config.Endpoint) engine.Options
	// Service returns the options of a replica of a plain service.
	Service func(endpoint config.Endpoint) service.Options
	// Adjust changes the fields of a declared record before it is validated; nil means no change.
	Adjust func(kind config.Kind, fields map[string]any)
	// Listen opens the listener of a stand-in. If nil, stand-ins listen on free ports of 127.0.0.1. The data centre is
	// empty for the store.
	Listen func(dataCentre string) (net.Listener, error)
}

// Testbed is a running set of stand-ins.
type Testbed struct {
	Store    *kv.Memory
	StoreURL string
	Engines  map[string]*engine.Engine
	Services map[string]*service.Service
	// Records are the declarations with the addresses of the stand-ins, TypedRecords the same after validation.
	Records      []config.RawRecord
	TypedRecords config.Records

	options Options
	server  *kv.Server
}

// Start reads the declarations and starts the stand-ins. It returns a *findings.Error for invalid declarations, and
// another error if a listener cannot be opened.
func Start(options Options) (*Testbed, error) {
	if options.Listen == nil {
		options.Listen = func(string) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
	}
	t := &Testbed{
		Store:    kv.NewMemory(),
		Engines:  make(map[string]*engine.Engine),
		Services: make(map[string]*service.Service),
		options:  options,
	}
	if err := t.loadDeclarations(); err != nil {
		return nil, err
	}
	if err := t.startStore(); err != nil {
		return nil, err
	}
	if err := t.startEndpoints(); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

// Declarations returns the validated declarations with their declared addresses. It starts no stand-in and returns a
// *findings.Error for invalid declarations.
func Declarations(options Options) (config.Records, error) {
	t := &Testbed{options: options}
	err := t.loadDeclarations()
	return t.TypedRecords, err
}

func (t *Testbed) loadDeclarations() error {
	names, err := fs.Glob(t.options.Declarations, path.Join(t.options.Folder, "*.json"))
	if err != nil {
		return errors.WithStack(err)
	}
	sort.Strings(names)
	var found findings.List
	for _, name := range names {
		data, err := fs.ReadFile(t.options.Declarations, name)
		if err != nil {
			return errors.WithStack(err)
		}
		records, newFindings := config.ParseFile(name, data)
		t.Records = append(t.Records, records...)
		found.Append(newFindings)
	}
	t.adjustRecords()
	typed, newFindings := config.Validate(t.Records)
	found.Append(newFindings)
	t.TypedRecords = typed
	return found.Err()
}

func (t *Testbed) adjustRecords() {
	if t.options.Adjust == nil {
		return
	}
	for i, record := range t.Records {
		fields := maps.Clone(record.Fields)
		t.options.Adjust(record.Kind, fields)
		t.Records[i] = config.NewRawRecord(record.File, record.Pointer, fields)
	}
}

func (t *Testbed) startStore() error {
	listener, err := t.options.Listen("")
	if err != nil {
		return errors.Wrap(err, "open listener of the store")
	}
	t.server = kv.NewServer(t.Store)
	t.StoreURL = "http://" + listener.Addr().String()
	go func() { _ = t.server.Serve(listener) }()
	return nil
}

func (t *Testbed) startEndpoints() error {
	addresses := make(map[string]string)
	for _, e := range t.TypedRecords.Endpoints {
		listener, err := t.options.Listen(e.DataCentre)
		if err != nil {
			return errors.Wrapf(err, "open listener of endpoint %q", e.Name)
		}
		addresses[e.Name] = "http://" + listener.Addr().String()
		if len(e.Accelerators) > 0 {
			t.startEngine(e, listener)
			continue
		}
		t.startService(e, listener)
	}
	t.replaceAddresses(addresses)
	return nil
}

func (t *Testbed) startEngine(e config.Endpoint, listener net.Listener) {
	var capacity []int64
	for _, a := range e.Accelerators {
		capacity = append(capacity, a.MemoryBytes)
	}
	options := engine.Options{}
	if t.options.Engine != nil {
		options = t.options.Engine(e)
	}
	options.Memory = engine.NewMemory(capacity, e.Name+"-1", e.ChecksFencing)
	standIn := engine.New(options)
	t.Engines[e.Name] = standIn
	go func() { _ = standIn.Serve(listener) }()
}

func (t *Testbed) startService(e config.Endpoint, listener net.Listener) {
	options := service.Options{}
	if t.options.Service != nil {
		options = t.options.Service(e)
	}
	standIn := service.New(options)
	t.Services[e.Name] = standIn
	go func() { _ = standIn.Serve(listener) }()
}

// replaceAddresses sets the addresses of the endpoints in the records to those of their stand-ins.
func (t *Testbed) replaceAddresses(addresses map[string]string) {
	for i, record := range t.Records {
		address, known := addresses[record.Name]
		if record.Kind != config.KindEndpoint || !known {
			continue
		}
		fields := maps.Clone(record.Fields)
		fields["url"] = address
		t.Records[i] = config.NewRawRecord(record.File, record.Pointer, fields)
	}
	for i := range t.TypedRecords.Endpoints {
		t.TypedRecords.Endpoints[i].URL = addresses[t.TypedRecords.Endpoints[i].Name]
	}
}

// Apply writes the declarations to the store.
func (t *Testbed) Apply(ctx context.Context, changeID string) error {
	repository := configstore.New(t.Store, configstore.Options{Prefix: settings.Default().Store.Prefix})
	_, err := repository.Apply(ctx, configstore.Change{ID: changeID, Records: t.Records})
	return err
}

// Change calls change for the fields of each record, validates the changed records and writes them to the store.
func (t *Testbed) Change(ctx context.Context, changeID string, change func(kind config.Kind, fields map[string]any)) error {
	for i, record := range t.Records {
		fields := maps.Clone(record.Fields)
		change(record.Kind, fields)
		t.Records[i] = config.NewRawRecord(record.File, record.Pointer, fields)
	}
	typed, validationFindings := config.Validate(t.Records)
	if err := validationFindings.Err(); err != nil {
		return err
	}
	t.TypedRecords = typed
	return t.Apply(ctx, changeID)
}

// Settings returns settings for a daemon in the data centre that listens on free ports of the IP address.
func (t *Testbed) Settings(instanceID, dataCentre, ip string) settings.Settings {
	s := settings.Default()
	s.SchemaVersion = settings.SchemaVersion
	s.InstanceID = instanceID
	s.DataCentre = dataCentre
	for _, d := range t.TypedRecords.DataCentres {
		if d.Name == dataCentre {
			s.Region = d.Region
		}
	}
	anyPort := net.JoinHostPort(ip, "0")
	s.CallerAddress = anyPort
	s.PeerAddress = anyPort
	s.AdminAddress = anyPort
	s.Store.URLs = []string{t.StoreURL}
	return s
}

// Executions returns how often the stand-ins for the plain services executed the order, over all replicas.
func (t *Testbed) Executions(orderID string) int {
	total := 0
	for _, s := range t.Services {
		total += s.Executions(orderID)
	}
	return total
}

// LoadsAndUnloads returns the number of completed loads and unloads of models and of adapters on all engines.
func (t *Testbed) LoadsAndUnloads() (models, adapters int) {
	for _, e := range t.Engines {
		models += e.Memory().LoadsAndUnloads(enginetypes.KindModel)
		adapters += e.Memory().LoadsAndUnloads(enginetypes.KindAdapter)
	}
	return models, adapters
}

// StoreCalls returns the number of calls that the store received. A watch counts as one call.
func (t *Testbed) StoreCalls() int {
	total := 0
	for _, call := range []kv.Call{
		kv.CallGet, kv.CallRange, kv.CallCommit, kv.CallGrant, kv.CallKeepAlive, kv.CallRevoke, kv.CallWatch,
	} {
		total += t.Store.Faults.Count(call)
	}
	return total
}

// Overcommits returns the number of loads that overcommitted an accelerator, summed over all engines.
func (t *Testbed) Overcommits() int {
	total := 0
	for _, e := range t.Engines {
		total += e.Memory().Overcommits()
	}
	return total
}

// Close stops all stand-ins.
func (t *Testbed) Close() {
	for _, e := range t.Engines {
		e.Close()
	}
	for _, s := range t.Services {
		s.Close()
	}
	if t.server != nil {
		_ = t.server.Close()
	}
}
