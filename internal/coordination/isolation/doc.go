// Package isolation decides whether this instance has lost its links to all endpoints, and which peers can serve its callers meanwhile.
package isolation
