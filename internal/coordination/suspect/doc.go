// Package suspect identifies requests that crash every endpoint they run on.
package suspect
