package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumvale/internal/standin/hosted"
)

// Paths of the routes.
const (
	readPath    = "/read/"
	bookPath    = "/book/"
	redraftPath = "/redraft/"
	briefPath   = "/brief/"
)

var tenantNames = []string{"atelier", "chantier", "verger"}

// operator changes the configuration, and remembers which keys it took away and when.
type operator struct {
	site *site

	mu      sync.Mutex
	version int
	weights int
	issued  int
	// keys are the present keys of the workspaces, former those that were taken away last.
	keys, former map[string]string
	// owners are the workspaces of all keys ever issued.
	owners map[string]string
	// revoked are the times at which the store acknowledged that keys were taken away.
	revoked map[string]time.Time
}

func newOperator(s *site) *operator {
	o := &operator{site: s, weights: 1, keys: make(map[string]string), former: make(map[string]string), owners: make(map[string]string), revoked: make(map[string]time.Time)}
	for _, name := range tenantNames {
		o.issue(name)
	}
	o.publish()
	return o
}

// issue gives a workspace a new key; the caller holds the lock, or is alone.
func (o *operator) issue(name string) {
	o.issued++
	key := fmt.Sprintf("key-%s-%d", name, o.issued)
	o.keys[name], o.owners[key] = key, name
}

// publish writes the configuration as it is now to be.
func (o *operator) publish() {
	o.version++
	route := func(path, kind, service string, attempts int, resumable bool) hosted.Route {
		return hosted.Route{
			Name: path, Hostname: hosted.SiteHostname, PathPrefix: path, Type: kind, Backend: service, TimeoutMs: 5000, TargetLatencyMs: 400,
			MaxAttempts: attempts, Resumable: resumable, Sticky: service == "engines",
		}
	}
	cfg := hosted.Configuration{
		Version: o.version,
		Routes: []hosted.Route{
			route(readPath, "idempotent", "calendar", 3, false), route(bookPath, "non_idempotent", "calendar", 1, false),
			route(redraftPath, "streaming", "engines", 3, true), route(briefPath, "streaming", "engines", 1, false),
		},
		Services: []map[string]any{hosted.PlainService("calendar"), hosted.EngineService("engines", hosted.SiteModel, 16)},
		Limits:   hosted.DefaultLimits(),
	}
	for _, name := range tenantNames {
		cfg.Tenants = append(cfg.Tenants, hosted.Tenant{Name: name, APIKeys: []string{o.keys[name]}})
	}
	o.write("op/config", cfg)
}

func (o *operator) write(key string, value any) {
	if err := o.site.put(key, value); err != nil {
		o.site.breach("operator: %v", err)
	}
}

// replaceKey takes a workspace's key away and gives it another.
func (o *operator) replaceKey(random *rand.Rand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	name := tenantNames[random.IntN(len(tenantNames))]
	old := o.keys[name]
	o.issue(name)
	o.publish()
	o.revoked[old], o.former[name] = time.Now(), old
}

// nameWeights names the next weight version.
func (o *operator) nameWeights(*rand.Rand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.weights++
	o.write("op/version/"+hosted.SiteModel, map[string]any{"Model": hosted.SiteModel, "Version": o.weights})
}

// publishNonsense writes what is no configuration, and the right one soon after.
func (o *operator) publishNonsense(random *rand.Rand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.write("op/config", map[string]any{"Version": "newest", "Routes": 7})
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	o.publish()
}

// key returns a key to call with: mostly a present one, at times one that was taken away.
func (o *operator) key(random *rand.Rand) (key, tenant string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	tenant = tenantNames[random.IntN(len(tenantNames))]
	if old := o.former[tenant]; old != "" && random.IntN(5) == 0 {
		return old, tenant
	}
	return o.keys[tenant], tenant
}
