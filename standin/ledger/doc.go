// Package ledger is the state of one stand-in upstream: tables, record log, role, and the terms that guard both.
package ledger
