package hosted

import (
	"fmt"
	"time"
)

// Routes of a demonstration site, all on one host.
const (
	SiteHostname = "demo.example"
	SiteAPIKey   = "key-of-the-demo"
	SiteModel    = "assistant"
	// ReadPath may be repeated, BookPath may not, and RedraftPath is a resumable stream.
	ReadPath    = "/read/"
	BookPath    = "/book/"
	RedraftPath = "/redraft/"
)

const (
	siteEngines  = 3
	siteServices = 2
	siteSlots    = 32
	siteEvents   = 12
	siteWork     = 3 * time.Millisecond
)

// StartSite registers the endpoints of a demonstration site and writes its configuration, as an operator would.
func StartSite(store *Store) error {
	for i := range siteServices {
		cfg := EndpointConfig{ID: fmt.Sprintf("calendar-%d", i), Service: "calendar", Zone: "a", Slots: siteSlots, Work: siteWork}
		if _, err := StartEndpoint(cfg, store); err != nil {
			return fmt.Errorf("start site: %w", err)
		}
	}
	for i := range siteEngines {
		cfg := EndpointConfig{ID: fmt.Sprintf("engine-%d", i), Service: "engines", Zone: "a", Slots: siteSlots, Model: SiteModel, Version: 1, Events: siteEvents, Work: siteWork}
		if _, err := StartEndpoint(cfg, store); err != nil {
			return fmt.Errorf("start site: %w", err)
		}
	}
	route := func(path, kind, service string, attempts int) Route {
		return Route{
			Name: path, Hostname: SiteHostname, PathPrefix: path, Type: kind, Backend: service, TimeoutMs: 5000, TargetLatencyMs: 400,
			MaxAttempts: attempts, Resumable: kind == "streaming", Sticky: kind == "streaming",
		}
	}
	configuration := Configuration{
		Version: 1,
		Routes: []Route{
			route(ReadPath, "idempotent", "calendar", 2), route(BookPath, "non_idempotent", "calendar", 1), route(RedraftPath, "streaming", "engines", 2),
		},
		Services: []map[string]any{PlainService("calendar"), EngineService("engines", SiteModel, siteSlots)},
		Limits:   DefaultLimits(),
		Tenants:  []Tenant{{Name: "demo", APIKeys: []string{SiteAPIKey}}},
	}
	if err := store.Put("op/config", configuration); err != nil {
		return fmt.Errorf("configure site: %w", err)
	}
	return nil
}
