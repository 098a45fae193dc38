// Package source decides whether an entry reads the metadata store itself or takes its contents from the relay of its zone.
package source
