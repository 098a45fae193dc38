// Package allowance limits retries and hedges to a share of the requests.
package allowance
