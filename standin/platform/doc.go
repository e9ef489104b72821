// Package platform is a stand-in for the users' platform: upstreams that speak its line protocol with positions, lag, slots and
// promotion, and announce themselves; and the platform's own call to promote, which checks fencing tokens. It keeps what was
// run, so that tests can check what the fleet promised.
package platform
