// Package roster simulates the platform's list of instances, which shows changes with a delay.
package roster
