// Package document holds versions of the operator's configuration as documents of segments, most of which two versions share, and decides what an
// instance that has one version lacks of another.
package document
