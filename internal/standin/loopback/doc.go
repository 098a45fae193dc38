// Package loopback reserves addresses for servers under test that no other process takes before the servers listen.
package loopback
