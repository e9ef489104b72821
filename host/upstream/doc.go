// Package upstream holds this host's connections to upstreams, with the statements prepared on each.
package upstream
