// Package upstream is an HTTP/1.1 client for endpoints that pools connections and never sends a request twice.
package upstream
