// Package program runs a program's command line and cancels it when the process receives a stop signal.
package program
