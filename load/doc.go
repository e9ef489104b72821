// Command tamarack-load starts local fleets, runs workloads with failures on them, checks the results and prints measurements.
package main
