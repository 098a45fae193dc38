// Package metric defines the Prometheus metrics of an entry instance. docs/metrics.md explains them.
package metric
