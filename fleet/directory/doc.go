// Package directory holds the announcements of upstreams. It keeps the newest one of each upstream, whichever host
// received it and in whichever order they arrive.
package directory
