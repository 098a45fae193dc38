// Package prompt describes the parts of prompts.
package prompt
