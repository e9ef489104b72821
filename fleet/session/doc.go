// Package session keeps the position that each session must see: the keeper's table and authority, and the decisions of
// writers and readers.
//
// The argument for read-your-writes rests on three rules. A write is acknowledged only while the writer's lease is valid
// and every holder that its adopted view requires has recorded the position. A keeper answers only while its lease is
// valid and it has been the session's holder in every epoch since its floor. A floor is read from the primary after the
// epoch was settled, when no host with a valid lease still writes under an older epoch.
package session
