// Package notice holds what endpoints say of themselves in their answers: that they leave, and that they want no requests for a while.
package notice
