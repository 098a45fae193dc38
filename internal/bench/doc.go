// Package bench simulates seeded workloads in virtual time and compares the production placement and link code with simple
// baselines and with an oracle that has perfect information.
package bench
