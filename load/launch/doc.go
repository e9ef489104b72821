// Package launch starts local fleets as separate processes on 127.0.0.1, and ends exactly the processes that it started. New
// starts the processes of a deployment; Fleet.Initialize configures them and waits until they are ready.
package launch
