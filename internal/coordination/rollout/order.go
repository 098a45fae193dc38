package rollout

// Mode says what becomes of the requests that run when an engine changes its weights.
type Mode uint8

// Modes of a change.
const (
	// FinishRunning lets them end on the old weights.
	FinishRunning Mode = iota + 1
	// AbortRunning ends them at once.
	AbortRunning
	// KeepRunning lets them go on under the new weights.
	KeepRunning
)

// LoadOrder tells one engine to load a weight version.
type LoadOrder struct {
	Endpoint string
	Model    string
	Version  int
	Mode     Mode
	Holder   string
	Fence    uint64
	// Orders is the number of orders that the engine has accepted before, so that an order carried out late does no harm.
	Orders int
}

// OrderResult is an engine's answer to an order.
type OrderResult uint8

// Receipts of orders.
const (
	// Accepted orders are being carried out.
	Accepted OrderResult = iota + 1
	// AlreadyLoaded says that the engine runs what was ordered.
	AlreadyLoaded
	// Rejected orders are not carried out.
	Rejected
)

// Report is an engine's state as it says itself.
type Report struct {
	// Busy says that an order is being carried out.
	Busy bool
	// Orders is the number of orders accepted since the start.
	Orders   int
	Versions map[string]int
}
