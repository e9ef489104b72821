// Command tamarack is the operators' command-line program: it applies the configuration, manages keys, and shows the state
// of the fleet.
package main
