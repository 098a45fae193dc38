// Package distribution holds what an entry of a hosted system passes on of the operator's configurations, and counts what it passes on.
package distribution
