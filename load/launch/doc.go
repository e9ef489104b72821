// Package launch starts local fleets as separate processes on 127.0.0.1, and ends exactly the processes that it started.
package launch
