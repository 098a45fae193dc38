// Package rank ranks members for a subject by rendezvous hashing (highest random weight).
package rank
