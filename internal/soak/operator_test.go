package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumvale/internal/standin/hosted"
)

// Path prefixes of the routes, which are also the routes' names.
const (
	readPath    = "/read/"
	bookPath    = "/book/"
	redraftPath = "/redraft/"
	briefPath   = "/brief/"
)

var workspaceNames = []string{"atelier", "chantier", "verger"}

// operator changes the configuration, and records which keys it revoked and when.
type operator struct {
	site *site
	// routes and services are the same in all versions of the configuration.
	routes   []hosted.Route
	services []map[string]any

	mu      sync.Mutex
	version int
	weights int
	issued  int
	// keys are the current keys by workspace, previousKeys the ones revoked last.
	keys, previousKeys map[string]string
	// keyWorkspaces are the workspaces by key, of all keys ever issued.
	keyWorkspaces map[string]string
	// revokedAt holds, by key, when the store acknowledged the revocation, and issuedAt when it acknowledged the key. A key may be rejected
	// from replacedAt on, when its revocation was sent.
	revokedAt, issuedAt, replacedAt map[string]time.Time
}

// newRoute returns a route whose name is its path prefix.
func newRoute(path, kind, service string, attempts int, resumable bool) hosted.Route {
	return hosted.Route{
		Name: path, Hostname: hosted.SiteHostname, PathPrefix: path, Type: kind, Backend: service, TimeoutMs: 5000, TargetLatencyMs: 400,
		MaxAttempts: attempts, Resumable: resumable, Sticky: kind == "streaming",
	}
}

func newOperator(s *site, routes []hosted.Route, services []map[string]any) *operator {
	o := &operator{
		site: s, routes: routes, services: services, weights: 1, keys: make(map[string]string), previousKeys: make(map[string]string), keyWorkspaces: make(map[string]string),
		revokedAt: make(map[string]time.Time), issuedAt: make(map[string]time.Time), replacedAt: make(map[string]time.Time),
	}
	for _, name := range workspaceNames {
		o.issueKey(name)
	}
	o.publish()
	return o
}

// issueKey gives a workspace a new key. The caller holds the lock, except in newOperator.
func (o *operator) issueKey(name string) {
	o.issued++
	key := fmt.Sprintf("key-%s-%d", name, o.issued)
	o.keys[name], o.keyWorkspaces[key] = key, name
}

// publish writes the current configuration as a new version.
func (o *operator) publish() {
	o.version++
	o.writeConfiguration()
}

// restore writes the newest configuration and weight version again after the store has lost them.
func (o *operator) restore() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writeConfiguration()
	o.writeWeights()
}

func (o *operator) writeConfiguration() {
	cfg := hosted.Configuration{Version: o.version, Routes: o.routes, Services: o.services, Limits: hosted.DefaultLimits()}
	for _, name := range workspaceNames {
		cfg.Tenants = append(cfg.Tenants, hosted.Tenant{Name: name, APIKeys: []string{o.keys[name]}})
	}
	o.write("op/config", cfg)
}

func (o *operator) write(key string, value any) {
	if err := o.site.put(key, value); err != nil {
		o.site.breach("operator: %v", err)
	}
}

// replaceKey revokes the key of a random workspace and issues a new one.
func (o *operator) replaceKey(random *rand.Rand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	name := workspaceNames[random.IntN(len(workspaceNames))]
	old := o.keys[name]
	o.replacedAt[old] = time.Now()
	o.issueKey(name)
	o.publish()
	now := time.Now()
	o.revokedAt[old], o.issuedAt[o.keys[name]], o.previousKeys[name] = now, now, old
}

// announceWeights announces the next weight version.
func (o *operator) announceWeights(*rand.Rand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.weights++
	o.writeWeights()
}

// writeWeights writes the newest weight version, if one was announced.
func (o *operator) writeWeights() {
	if o.weights > 1 {
		o.write("op/version/"+hosted.SiteModel, map[string]any{"Model": hosted.SiteModel, "Version": o.weights})
	}
}

// publishInvalid writes an invalid configuration, and the valid one soon after.
func (o *operator) publishInvalid(random *rand.Rand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.write("op/config", map[string]any{"Version": "newest", "Routes": 7})
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	o.publish()
}

// key returns a random workspace and one of its keys: mostly the current one, sometimes the one revoked last.
func (o *operator) key(random *rand.Rand) (key, workspace string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	workspace = workspaceNames[random.IntN(len(workspaceNames))]
	if old := o.previousKeys[workspace]; old != "" && random.IntN(5) == 0 {
		return old, workspace
	}
	return o.keys[workspace], workspace
}
