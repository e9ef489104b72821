// Package failover decides for one database group when its primary is replaced and by which member. It covers failure
// detection, fencing, promotion, planned switchover, bootstrap and the replacement of members.
//
// The caller passes events to Group.Step and executes the actions that it returns. A Group lives as long as one leadership
// of the control log: a new leader creates it, and discards it when it steps down. AttemptCommitted and PromotionCommitted
// are passed only for proposals that this Group made.
//
// Safety depends on overlapping majorities. Let n be the member count of the configuration, or the number of members in the
// control state if that is higher. A write is acknowledged once a majority of n holds it, and a promotion needs a majority
// of n fenced. A new member joins once it has caught up. A leaving one is removed once a majority of the others holds
// everything that hosts may have acknowledged under an earlier member list. The list changes again only after every host has
// adopted the previous change or its lease has ended.
package failover
