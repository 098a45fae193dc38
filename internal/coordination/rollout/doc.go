// Package rollout plans orders to endpoints to load the weight version that the configuration specifies.
package rollout
