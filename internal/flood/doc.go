// Package flood tests gypsum-entry with clients that respect no limit. Its tests start the real program and measure its memory and its
// descriptors; they don't run in parallel with each other.
package flood
