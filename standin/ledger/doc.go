// Package ledger holds the state of one stand-in upstream: its tables, its log of records, and its role under a term. A
// Ledger starts as a replica with the entries of a record file, see File. Fence, Promote, Drain and Follow change its role;
// transactions and replicated records change its rows.
package ledger
