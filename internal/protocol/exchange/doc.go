// Package exchange defines the decoded heads of requests and answers, independently of the platform's headers.
package exchange
