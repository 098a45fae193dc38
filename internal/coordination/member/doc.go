// Package member maintains the membership table of gypsum-entry instances from heartbeats. The table is a hint: safety never depends on it.
package member
