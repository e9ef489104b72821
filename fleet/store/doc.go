// Package store keeps the durable state of a control log member in a bbolt file.
//
// Open returns the stored state and a Store, whose Save method stores the writes of quorum.Persist actions. Every record
// has a checksum of its key and content, and the range of the stored entries (the extent) is a separate record. Missing or
// changed parts are therefore reported and never read as a shorter valid log. Damage is not repaired: a host with a damaged
// folder needs an empty one and rejoins as a new member. A save that was interrupted at any point is no damage: the folder then
// holds the state before it.
package store
