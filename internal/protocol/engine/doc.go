// Package engine defines the wire types of model engines.
package engine
