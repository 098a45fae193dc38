// Package budget limits the rate of a process's calls to the platform's key-value service, and stops them for a while after failures.
package budget
