// Package claim defines the records and pages of the ledger, which prevents a non-idempotent request from running twice.
package claim
