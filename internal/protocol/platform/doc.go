// Package platform defines the wire types of the platform's instance list and key-value service.
package platform
