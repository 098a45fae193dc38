// Package origin tracks at which software version of a service streams began, since they may go on only at that version.
package origin
