// Package group divides each pool of endpoints into groups and grants their slots from one queue per group.
package group
