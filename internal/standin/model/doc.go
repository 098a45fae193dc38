// Package model simulates a model engine with continuous batching, a prefix cache, resumable streams and injected faults.
package model
