// Command tamarack-standin runs one upstream of a stand-in database group. It speaks the PostgreSQL protocol and has two
// tables, accounts(id text, balance bigint) and orders(id text, team text, user text, note text).
//
// It differs from PostgreSQL in these points:
//
//   - It supports only a few forms of statements; all others fail with 42601. There are no null values, no joins and no
//     expressions, and rows can be changed only by id.
//   - Transactions read committed rows and buffer their writes. If two of them change the same row, the first to commit
//     succeeds and the other fails at COMMIT with 40001 (or 23505 for an insert). There are no row locks to wait for.
//   - Outside of BEGIN each statement commits on its own when it runs, even in a pipeline or in a simple query with several
//     statements.
//   - Failover uses terms and the functions tamarack_state, tamarack_fence, tamarack_drain, tamarack_follow and
//     pg_promote(term). An upstream starts as a replica that follows no primary, also after a restart.
//   - Each reply to a write contains its log position in the parameter tamarack.position, even if the write changed nothing.
//     Replies to reads on a replica contain the position of the data read.
//   - Replication uses a custom stream format on the same port. A replica applies a batch when it receives it. The
//     lag delays the receipt, so flush and replay positions are equal.
//   - pg_stat_replication has the columns application_name, term, flush_lsn, replay_lsn and age_ms.
//   - Only cleartext passwords are supported. Replication connections do not count against the limit of connections, and
//     functions other than pg_sleep do not count against the limit of statements that run at the same time.
//   - All rows and the whole log are kept in memory, even with a record file. An upstream without a record file loses its terms
//     in a restart and must be started again under a new name.
package main
