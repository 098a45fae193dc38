// Package weights simulates a weight store that slows down when too many loads run at once.
package weights
