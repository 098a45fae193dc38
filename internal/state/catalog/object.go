package catalog

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"

	"github.com/pkg/errors"
)

// Kind is the type of a configured object.
type Kind string

// Kinds of configured objects.
const (
	KindWorkspace  Kind = "workspace"
	KindDeployment Kind = "deployment"
	KindService    Kind = "service"
	KindEndpoint   Kind = "endpoint"
	KindStore      Kind = "store"
)

// ID names one object.
type ID struct {
	Kind Kind   `json:"kind" msgpack:"k"`
	Name string `json:"name" msgpack:"n"`
}

// String returns kind and name joined by a slash.
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// Object is the whole state of one configured object and the number of the ticket that set it.
type Object struct {
	ID
	Ticket  uint64          `json:"ticket,omitempty" msgpack:"t"`
	Deleted bool            `json:"deleted,omitempty" msgpack:"d,omitempty"`
	State   json.RawMessage `json:"state,omitempty" msgpack:"s"`
}

// Workspace is one customer's name, keys and share.
type Workspace struct {
	Name        string   `json:"-"`
	KeyDigests  []string `json:"key_digests"`
	Share       int      `json:"share"`
	Deployments []string `json:"deployments"`
	Services    []string `json:"services"`
}

// Deployment binds a name to a model, an adapter and a weight version.
type Deployment struct {
	Name    string `json:"-"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Name string `json:"-"`
	// RepeatableMethods are the HTTP methods whose calls may be repeated.
	RepeatableMethods []string `json:"repeatable_methods"`
	// Deduplicates says that the service itself drops a second call with the same key.
	Deduplicates bool `json:"deduplicates,omitempty"`
}

// Endpoint is one replica of a deployment or a service.
type Endpoint struct {
	Name        string `json:"-"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Deployment  string `json:"deployment,omitempty"`
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots"`
	ChecksFence bool   `json:"checks_fence,omitempty"`
}

// Pool returns the name of the deployment or service that the endpoint belongs to.
func (e *Endpoint) Pool() string {
	if e.Deployment != "" {
		return string(KindDeployment) + "/" + e.Deployment
	}
	return string(KindService) + "/" + e.Service
}

// Store is an instance that keeps KV cache pieces behind a limited link.
type Store struct {
	Name    string `json:"-"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// LinkBytesPerSecond is the link's limit.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
}

const (
	maxNameLength = 64
	maxShare      = 1000
	maxSlots      = 1024
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// ErrInvalid says that an object breaks a rule of the catalog.
var ErrInvalid = errors.New("invalid object")

// Validate returns an ErrInvalid that names the first rule which the object breaks.
func (o *Object) Validate() error {
	if !namePattern.MatchString(o.Name) || len(o.Name) > maxNameLength {
		return fmt.Errorf("%s: name must be 1 to %d of a-z 0-9 . -: %w", o.ID, maxNameLength, ErrInvalid)
	}
	if o.Deleted {
		return checkKind(o.ID)
	}
	_, err := o.decode()
	return err
}

func checkKind(id ID) error {
	switch id.Kind {
	case KindWorkspace, KindDeployment, KindService, KindEndpoint, KindStore:
		return nil
	}
	return fmt.Errorf("%s: unknown kind: %w", id, ErrInvalid)
}

// decode returns a pointer to the object's typed state.
func (o *Object) decode() (any, error) {
	switch o.Kind {
	case KindWorkspace:
		w := &Workspace{Name: o.Name}
		return w, o.read(w, func() string { return w.fault() })
	case KindDeployment:
		d := &Deployment{Name: o.Name}
		return d, o.read(d, func() string { return d.fault() })
	case KindService:
		s := &Service{Name: o.Name}
		return s, o.read(s, func() string { return "" })
	case KindEndpoint:
		e := &Endpoint{Name: o.Name}
		return e, o.read(e, func() string { return e.fault() })
	case KindStore:
		s := &Store{Name: o.Name}
		return s, o.read(s, func() string { return s.fault() })
	}
	return nil, checkKind(o.ID)
}

func (o *Object) read(into any, fault func() string) error {
	if err := json.Unmarshal(o.State, into); err != nil {
		return fmt.Errorf("%s: state is not valid JSON for its kind (%v): %w", o.ID, err, ErrInvalid)
	}
	if text := fault(); text != "" {
		return fmt.Errorf("%s: %s: %w", o.ID, text, ErrInvalid)
	}
	return nil
}

func (w *Workspace) fault() string {
	if len(w.KeyDigests) == 0 {
		return "key_digests must not be empty"
	}
	if w.Share < 1 || w.Share > maxShare {
		return fmt.Sprintf("share must be 1 to %d", maxShare)
	}
	return ""
}

func (d *Deployment) fault() string {
	if d.Model == "" || d.Version == "" {
		return "model and version must not be empty"
	}
	return ""
}

func (e *Endpoint) fault() string {
	if (e.Deployment == "") == (e.Service == "") {
		return "exactly one of deployment and service must be set"
	}
	if e.Zone == "" {
		return "zone must not be empty"
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		return fmt.Sprintf("slots must be 1 to %d", maxSlots)
	}
	return addressFault(e.Address)
}

func (s *Store) fault() string {
	if s.Zone == "" {
		return "zone must not be empty"
	}
	if s.LinkBytesPerSecond < 1 {
		return "link_bytes_per_second must be at least 1"
	}
	return addressFault(s.Address)
}

func addressFault(address string) string {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "address must be an IP number and a port"
	}
	return ""
}
