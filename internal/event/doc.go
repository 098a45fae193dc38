// Package event writes structured logs in which every kind of event has a number. docs/events.md explains the numbers.
package event
