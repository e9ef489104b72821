// Package store keeps the durable state of a control log member in a bbolt file.
//
// Every record carries a checksum over its key and content, and the range of the stored entries is a record of its own,
// so that lost or changed parts are reported and never read as a shorter valid log. Nothing is repaired: a host whose
// folder is damaged gets an empty one and rejoins as a new member.
package store
