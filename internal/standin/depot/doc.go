// Package depot simulates a cache store, which keeps blocks of KV cache in limited space behind a link of limited bandwidth.
package depot
