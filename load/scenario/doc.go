// Package scenario runs a local fleet under a workload, causes failures of processes, disks and links, and checks the
// recorded history. Start starts a fleet as an Experiment; Demo and Soak are whole runs.
package scenario
