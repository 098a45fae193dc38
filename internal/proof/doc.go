// Package proof tests the system's guarantees on real processes under injected faults.
package proof
