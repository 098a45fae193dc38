// Package plain simulates a plain service that counts how often each idempotency key took effect.
package plain
