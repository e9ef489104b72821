// Package statement holds the requests of callers and the results of upstreams, whatever protocol carries them.
package statement
