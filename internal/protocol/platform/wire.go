package platform

// Instance is an entry of the platform's instance list, which may be out of date.
type Instance struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Roles of instances.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"
	RoleStore    = "store"
)

// HeaderVersion is the header that carries the version of a key.
const HeaderVersion = "Key-Version"

// KeyInfo is an entry of a listing of keys.
type KeyInfo struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Lease is a named lease with the fencing number of its current holder.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// RemainingMilli is the time until the lease expires, in milliseconds.
	RemainingMilli int64 `json:"remaining_ms"`
}
