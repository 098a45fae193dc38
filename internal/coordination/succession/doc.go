// Package succession decides when an instance is behind with its work, and when a leader that is behind hands its lease over.
package succession
