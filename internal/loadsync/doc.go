// Package loadsync tells a new leader which requests of this instance are running, so that it counts them as load.
package loadsync
