// Package answer verifies that the chunks streamed by engines, over one or more attempts, form one complete answer.
package answer
