// Package platform is a stand-in for the users' platform. A Group runs upstreams that speak the platform's line protocol with
// positions, lag, slots and promotion. A Cloud announces them and serves the platform's call to promote, which checks fencing
// tokens. Both record what was run, so that tests can check the fleet's guarantees. Client and Operator are the callers' and the
// operators' side.
package platform
