// Package red lets tests look up known faults that are not fixed yet.
package red
