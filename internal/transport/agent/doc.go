// Package agent sets the user agent of outgoing HTTP requests to this instance's name.
package agent
