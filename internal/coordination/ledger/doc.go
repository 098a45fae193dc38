// Package ledger ensures that each non-idempotent request starts at most once, with compare-and-swap writes to shared pages.
package ledger
