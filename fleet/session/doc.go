// Package session implements read-your-writes for sessions. A Keeper stores the position that each session must see, a
// Writer records a position with the holders of a session, and a Reader asks them for it. Writer and Reader only decide: their
// caller sends the messages.
//
// Read-your-writes depends on three rules. A write is acknowledged only while the writer's lease is valid and every holder
// that its adopted view requires has recorded the position. A keeper answers only while its lease is valid and only if it has
// been the session's holder in every epoch since its floor. A floor is read from the primary after the epoch was settled, when
// no host with a valid lease still writes under an older epoch.
package session
