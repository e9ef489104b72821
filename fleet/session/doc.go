// Package session implements read-your-writes for sessions. A Keeper stores the position that each session must see, a
// Writer records a position with the holders of a session, and a Reader asks them for it. Writer and Reader only decide: their
// caller sends the messages.
//
// The hosts that are keepers change in numbered epochs. In each epoch, a session has one holder in every availability zone:
// the zone's keeper that the hash of the session selects.
//
// Read-your-writes depends on three rules. A write is acknowledged only while the writer's lease is valid and every holder
// that its adopted view requires has recorded the position. A keeper answers only while its lease is valid and only if it has
// been the session's holder in every epoch since it read the service's floor, which is the position that it assumes for
// sessions without a record. A floor is read from the primary once the epoch is settled, which means that no host with a valid
// lease still writes under an older epoch.
package session
