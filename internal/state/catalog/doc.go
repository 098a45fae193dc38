// Package catalog holds the accepted configuration as immutable snapshots.
package catalog
