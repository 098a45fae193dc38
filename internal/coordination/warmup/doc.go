// Package warmup decides which endpoints are cold after a start, and how many requests each of them may get meanwhile.
package warmup
