// Package load generates load as the customers' programs do: it retries each request until it is answered, and verifies every answer.
package load
