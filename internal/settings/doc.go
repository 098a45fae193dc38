// Package settings reads and validates the programs' INI files.
package settings
