// Command tamarack-standin is one upstream of a stand-in database group. It speaks the PostgreSQL protocol and keeps two
// tables, accounts(id text, balance bigint) and orders(id text, team text, user text, note text).
//
// It differs from PostgreSQL in these points:
//
//   - It recognises a few patterns of statements; everything else gets 42601. There are no null values, no joins and no
//     expressions, and rows change only by id.
//   - Transactions read committed rows and buffer their writes. The first of two that change the same row commits; the
//     other gets 40001 (or 23505 for an insert) at COMMIT. There are no row locks to wait for.
//   - Outside of BEGIN each statement commits on its own when it runs, also within a pipeline or a simple query with
//     several statements.
//   - Failover is by term: tamarack_state, tamarack_fence, tamarack_drain, tamarack_follow and pg_promote(term). An
//     upstream starts as a replica that follows nobody, also after a restart.
//   - Each reply to a write carries its log position in the parameter tamarack.position, also when the write changed
//     nothing; replies to reads of a replica carry the position of the data read.
//   - Replication is a stream of its own format on the same port. A replica applies a batch when it receives it; the
//     lag delays the receipt, so that flush and replay positions are equal.
//   - pg_stat_replication has the columns application_name, term, flush_lsn, replay_lsn and age_ms.
//   - Only cleartext passwords are supported. Replication connections do not count against the limit of connections,
//     and functions of the catalogue take no slot.
//   - All rows and the whole log are kept in memory, also with a record file. An upstream without a record file forgets
//     its terms in a restart and must come back under a new name.
package main
