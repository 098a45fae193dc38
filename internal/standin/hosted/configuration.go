package hosted

// Route is one route in the operator's configuration.
type Route struct {
	Name, Hostname, PathPrefix, Type, Backend      string
	TimeoutMs, TargetLatencyMs, Priority, GapAimMs int
	MaxAttempts                                    int
	Public, Sticky, Resumable                      bool
	AllowedRegions                                 []string
	// TrafficSplit replaces Backend.
	TrafficSplit []RouteTarget `json:",omitempty"`
}

// RouteTarget is a service that gets a share of a route's requests.
type RouteTarget struct {
	Backend string
	Weight  int
}

// Configuration is the site configuration that an operator stores under op/config.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []map[string]any
	Limits   map[string]int
	Tenants  []Tenant
}

// Tenant is one workspace in the operator's configuration.
type Tenant struct {
	Name     string
	APIKeys  []string `json:"ApiKeys"`
	Priority int

	AllowedRegions []string
	Isolated       bool `json:",omitempty"`
}

// DefaultLimits returns request limits that a well-behaved caller never reaches.
func DefaultLimits() map[string]int {
	return map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

// EngineService returns the configuration of a service whose engines all run the given model.
func EngineService(name, model string, slots int) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 200, "Engine": map[string]any{
		"Capacity": slots, "KvCapacity": 100000, "KvBytes": 1000, "LinkMbps": 1e6, "MaxInflight": 8, "Models": []map[string]any{{"Name": model}},
	}}
}

// PlainService returns the configuration of a service whose endpoints run no model.
func PlainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 200}
}
