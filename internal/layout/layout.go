package layout

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/protocol/platform"
	"gypsumvale/internal/state/catalog"
)

// Entry is one entry instance.
type Entry struct {
	Name, Zone, Callers, Operators, Peers string
}

// Standin is one endpoint or store.
type Standin struct {
	Name, Zone, Address string
	ChecksFence         bool
}

// Workspace is a customer with its key.
type Workspace struct {
	Name, Key string
	Share     int
}

// Layout is a whole installation.
type Layout struct {
	Customer      string
	Host          string
	Zones         []string
	KeyValue      string
	InstanceList  string
	Weights       string
	Entries       []Entry
	Engines       []Standin
	Services      []Standin
	Stores        []Standin
	Workspaces    []Workspace
	OperatorToken string
	PeerSecret    string
	Slots         int
	Version       string
	// PrefillPerSecond and TokenMicros are the speed of the stand-in engines.
	PrefillPerSecond int
	TokenMicros      int
	// CachePieces is what a stand-in engine keeps.
	CachePieces int
	// PieceBytes is the size of a block, and LinkBytes the stores' link in bytes a second.
	PieceBytes int
	LinkBytes  int64
	StoreBytes int64
	WorkMicros int
}

// Deployment and Service are the names that every layout uses.
const (
	Deployment = "assistant"
	Service    = "bookings"
)

// Sizes choose how large a layout is.
type Sizes struct {
	Entries, Engines, Services, Stores, Workspaces int
}

// CurrentSizes is the size that each customer runs today.
var CurrentSizes = Sizes{Entries: 18, Engines: 18, Services: 3, Stores: 2, Workspaces: 10}

// ErrUnknownCustomer says that no such customer is known.
var ErrUnknownCustomer = errors.New("customer must be le-goff or teranga")

var zonesOf = map[string][]string{
	"le-goff": {"rennes", "brest", "vannes"},
	"teranga": {"dakar-a", "dakar-b", "dakar-c"},
}

// New lays out a customer's installation on one host, with ports from a base on.
func New(customer, host string, basePort int, sizes Sizes) (*Layout, error) {
	zones, ok := zonesOf[customer]
	if !ok {
		return nil, fmt.Errorf("layout for %q: %w", customer, ErrUnknownCustomer)
	}
	l := &Layout{
		Customer: customer, Host: host, Zones: zones, OperatorToken: "operator-token-of-the-demo", PeerSecret: "peer-secret-of-the-demo",
		Slots: 8, Version: "v1", PrefillPerSecond: 40000, TokenMicros: 2000, CachePieces: 60, PieceBytes: 4 << 20,
		LinkBytes: 400 << 20, StoreBytes: 4 << 30, WorkMicros: 3000,
	}
	port := basePort
	next := func() string {
		port++
		return fmt.Sprintf("%s:%d", host, port)
	}
	l.KeyValue, l.InstanceList, l.Weights = next(), next(), next()
	for i := range sizes.Entries {
		zone := zones[i%len(zones)]
		l.Entries = append(l.Entries, Entry{Name: fmt.Sprintf("%s-e%02d", zone, i), Zone: zone, Callers: next(), Operators: next(), Peers: next()})
	}
	l.Engines = standins("m", sizes.Engines, zones, next)
	l.Services = standins("s", sizes.Services, zones, next)
	l.Stores = standins("k", sizes.Stores, zones, next)
	for i := range sizes.Workspaces {
		name := fmt.Sprintf("workspace-%02d", i)
		l.Workspaces = append(l.Workspaces, Workspace{Name: name, Key: "key-of-" + name, Share: 1 + 2*(i%3)})
	}
	return l, nil
}

func standins(letter string, n int, zones []string, next func() string) []Standin {
	list := make([]Standin, 0, n)
	for i := range n {
		zone := zones[i%len(zones)]
		list = append(list, Standin{Name: fmt.Sprintf("%s-%s%02d", zone, letter, i), Zone: zone, Address: next(), ChecksFence: i%2 == 0})
	}
	return list
}

// Ticket returns the first ticket: everything that the layout configures.
func (l *Layout) Ticket(number uint64) (*ticket.Ticket, error) {
	t := &ticket.Ticket{Number: number}
	var failed error
	add := func(kind catalog.Kind, name string, state any) {
		data, err := json.Marshal(state)
		if err != nil {
			failed = err
		}
		t.Objects = append(t.Objects, &catalog.Object{ID: catalog.ID{Kind: kind, Name: name}, State: data})
	}
	add(catalog.KindDeployment, Deployment, catalog.Deployment{Model: "chain-7b", Version: l.Version})
	add(catalog.KindService, Service, catalog.Service{RepeatableMethods: []string{"GET"}})
	for _, w := range l.Workspaces {
		add(catalog.KindWorkspace, w.Name, catalog.Workspace{
			KeyDigests: []string{catalog.KeyDigest(w.Key)}, Share: w.Share, Deployments: []string{Deployment}, Services: []string{Service},
		})
	}
	for _, e := range l.Engines {
		add(catalog.KindEndpoint, e.Name, catalog.Endpoint{Zone: e.Zone, Address: e.Address, Deployment: Deployment, Slots: l.Slots, ChecksFence: e.ChecksFence})
	}
	for _, e := range l.Services {
		add(catalog.KindEndpoint, e.Name, catalog.Endpoint{Zone: e.Zone, Address: e.Address, Service: Service, Slots: 4 * l.Slots})
	}
	for _, s := range l.Stores {
		add(catalog.KindStore, s.Name, catalog.Store{Zone: s.Zone, Address: s.Address, LinkBytesPerSecond: l.LinkBytes})
	}
	return t, errors.Wrap(failed, "encode first ticket")
}

// Instances returns the platform's list.
func (l *Layout) Instances() []platform.Instance {
	var list []platform.Instance
	for _, e := range l.Entries {
		list = append(list, platform.Instance{Name: e.Name, Role: platform.RoleEntry, Zone: e.Zone, Address: e.Peers})
	}
	for _, e := range append(append([]Standin(nil), l.Engines...), l.Services...) {
		list = append(list, platform.Instance{Name: e.Name, Role: platform.RoleEndpoint, Zone: e.Zone, Address: e.Address})
	}
	for _, s := range l.Stores {
		list = append(list, platform.Instance{Name: s.Name, Role: platform.RoleStore, Zone: s.Zone, Address: s.Address})
	}
	return list
}

// seedsEach is the number of peers that each entry is told of; the platform's list gives the others.
const seedsEach = 4

// Settings returns an entry's INI file.
func (l *Layout) Settings(e Entry) string {
	var seeds []string
	for _, other := range l.Entries {
		if other.Name != e.Name && len(seeds) < seedsEach {
			seeds = append(seeds, fmt.Sprintf("%s@%s@%s", other.Name, other.Zone, other.Peers))
		}
	}
	return fmt.Sprintf(`# Entry instance %s of %s.
[instance]
name = %s
zone = %s
callers = %s
operators = %s
peers = %s

[platform]
keyvalue = %s
list = %s
writes_per_second = 200
reads_per_second = 500

[peers]
secret = %s
seeds = %s

[operators]
tokens = demo:%s

[limits]
request_timeout = 60s
stop_timeout = 20s

[engine]
prefill_tokens_per_second = %d
token_time = %dus
piece_bytes = %d

[log]
level = info
format = json
`, e.Name, l.Customer, e.Name, e.Zone, e.Callers, e.Operators, e.Peers, l.KeyValue, l.InstanceList, l.PeerSecret,
		strings.Join(seeds, ", "), catalog.KeyDigest(l.OperatorToken), l.PrefillPerSecond, l.TokenMicros, l.PieceBytes)
}

// Commands returns the command line of each process, stand-ins first, for a script that starts them.
func (l *Layout) Commands(dir string) []string {
	list := []string{
		fmt.Sprintf("gypsum-standin keyvalue --listen %s --writes 600 --reads 2000 --latency 2ms", l.KeyValue),
		fmt.Sprintf("gypsum-standin list --listen %s --lag 500ms --instances %s", l.InstanceList, filepath.Join(dir, instancesFile)),
		fmt.Sprintf("gypsum-standin weights --listen %s --load-time 400ms", l.Weights),
	}
	for _, e := range l.Engines {
		list = append(list, fmt.Sprintf("gypsum-standin engine --listen %s --slots %d --prefill %d --token-time %dus --cache-pieces %d --version %s --checks-fence=%t --weights %s --export-bytes %d",
			e.Address, l.Slots, l.PrefillPerSecond, l.TokenMicros, l.CachePieces, l.Version, e.ChecksFence, l.Weights, l.PieceBytes))
	}
	for _, s := range l.Services {
		list = append(list, fmt.Sprintf("gypsum-standin service --listen %s --work %dus", s.Address, l.WorkMicros))
	}
	for _, s := range l.Stores {
		list = append(list, fmt.Sprintf("gypsum-standin store --listen %s --link %d --limit %d", s.Address, l.LinkBytes, l.StoreBytes))
	}
	for _, e := range l.Entries {
		list = append(list, fmt.Sprintf("gypsum-entry --settings %s", filepath.Join(dir, e.Name+".ini")))
	}
	return list
}

const (
	layoutFile    = "layout.json"
	ticketFile    = "ticket.json"
	instancesFile = "instances.json"
	commandsFile  = "commands"
	fileMode      = 0o600
	dirMode       = 0o700
)

// Write puts all files of a layout into a folder.
func (l *Layout) Write(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("write layout: %w", err)
	}
	t, err := l.Ticket(1)
	if err != nil {
		return fmt.Errorf("write layout: %w", err)
	}
	files := []struct {
		name string
		v    any
	}{{layoutFile, l}, {ticketFile, t}, {instancesFile, l.Instances()}}
	for _, f := range files {
		data, err := json.MarshalIndent(f.v, "", " ")
		if err != nil {
			return fmt.Errorf("write layout: %w", err)
		}
		if err := os.WriteFile(filepath.Join(dir, f.name), data, fileMode); err != nil {
			return fmt.Errorf("write layout: %w", err)
		}
	}
	for _, e := range l.Entries {
		if err := os.WriteFile(filepath.Join(dir, e.Name+".ini"), []byte(l.Settings(e)), fileMode); err != nil {
			return fmt.Errorf("write layout: %w", err)
		}
	}
	commands := strings.Join(l.Commands(dir), "\n") + "\n"
	if err := os.WriteFile(filepath.Join(dir, commandsFile), []byte(commands), fileMode); err != nil {
		return fmt.Errorf("write layout: %w", err)
	}
	return nil
}

// Read reads the layout from a folder.
func Read(dir string) (*Layout, error) {
	data, err := os.ReadFile(filepath.Join(dir, layoutFile))
	if err != nil {
		return nil, fmt.Errorf("read layout: %w", err)
	}
	l := &Layout{}
	if err := json.Unmarshal(data, l); err != nil {
		return nil, fmt.Errorf("read layout: %w", err)
	}
	return l, nil
}
