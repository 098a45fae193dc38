package hosted

// Route is a route as the operator writes it.
type Route struct {
	Name, Hostname, PathPrefix, Type, Backend      string
	TimeoutMs, TargetLatencyMs, Priority, GapAimMs int
	MaxAttempts                                    int
	Public, Sticky, Resumable                      bool
}

// Configuration is a configuration as the operator writes it.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []map[string]any
	Limits   map[string]int
	Tenants  []Tenant
}

// Tenant is a workspace as the operator writes it.
type Tenant struct {
	Name     string
	APIKeys  []string `json:"ApiKeys"`
	Priority int
}

// DefaultLimits are limits that no proper caller meets.
func DefaultLimits() map[string]int {
	return map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

// EngineService describes a service of engines that all run one model.
func EngineService(name, model string, slots int) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 200, "Engine": map[string]any{
		"Capacity": slots, "KvCapacity": 100000, "KvBytes": 1000, "LinkMbps": 1e6, "MaxInflight": 8, "Models": []map[string]any{{"Name": model}},
	}}
}

// PlainService describes a service of endpoints without models.
func PlainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 200}
}
