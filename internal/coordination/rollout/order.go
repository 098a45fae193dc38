package rollout

// Mode is what an engine does with its running requests when it loads other weights.
type Mode uint8

// Modes of a weight change.
const (
	// FinishRunning completes running requests on the old weights before the change.
	FinishRunning Mode = iota + 1
	// AbortRunning aborts running requests.
	AbortRunning
	// KeepRunning continues running requests on the new weights.
	KeepRunning
)

// LoadOrder is an order to one engine to load a weight version.
type LoadOrder struct {
	Endpoint string
	Model    string
	Version  int
	Mode     Mode
	Holder   string
	Fence    uint64
	// Orders is the number of orders that the engine has accepted so far. The engine checks it, so that a delayed order has no effect.
	Orders int
}

// OrderResult is an engine's response to an order.
type OrderResult uint8

// Responses to orders.
const (
	// Accepted means that the engine is executing the order.
	Accepted OrderResult = iota + 1
	// AlreadyLoaded means that the engine already runs the ordered version.
	AlreadyLoaded
	// Rejected means that the engine does not execute the order.
	Rejected
)

// Report is the state that an engine reports.
type Report struct {
	// Busy is true while an order is being executed.
	Busy bool
	// Orders is the number of orders that the engine has accepted since it started.
	Orders   int
	Versions map[string]int
	// StartMilli is the start time of the engine's incarnation in Unix milliseconds, or zero if the report doesn't name it.
	StartMilli int64
}
