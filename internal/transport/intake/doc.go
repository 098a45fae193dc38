// Package intake accepts clients' connections and holds what they send within a process's limits on memory and connections.
package intake
