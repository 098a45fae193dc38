// Package placement decides which endpoint runs a request, from where it fetches cached context, and what is rejected.
package placement
