// Package budget decides how much memory and how many connections callers may make a process hold. An Account has a total, shares
// for one session, one address and one team, and a reserve for sessions that hold little. Bytes are taken before they are used. When
// something has to be closed, the largest holder that no statement depends on goes first.
//
// It bounds the memory and the connections that callers can take by many large messages at once, messages that never end, many values
// and prepared statements, idle connections, and answers that they don't read.
package budget
