// Package failover decides for one database group when a primary is replaced and by whom: detection, fencing, promotion,
// planned switchover, bootstrap and the replacement of members.
//
// A Group belongs to one leadership of the control log: it is created by a new leader and dropped when the leader steps
// down. AttemptCommitted and PromotionCommitted are given only for proposals that this Group made.
//
// Safety rests on counting. With n the member count of the configuration, or the number of members in the control state
// if that is higher, a write is acknowledged once a majority of n holds it, and a promotion needs a majority of n fenced.
// A new member joins once it has caught up, and a leaving one is removed once a majority of the others holds everything
// that hosts may have acknowledged under an earlier member list. Between two changes of the list every host has adopted
// the first, or its lease has ended.
package failover
