// Package budget decides how much memory and how many connections callers may make a process hold. An Account has a total, shares
// for one session, one address and one team, and a reserve for sessions that hold little. Bytes are taken before they are used. When
// something has to be closed, the largest holder that no statement depends on goes first.
//
// It answers callers that send many large messages at once, messages without an end, values and prepared statements without number,
// or nothing, and callers that read no answers.
package budget
