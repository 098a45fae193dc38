// Package soak runs the real programs as separate processes, injects random faults, and checks what callers and endpoints observed.
package soak
