// Package command implements the command line of the operators' program: its commands, their output and exit codes.
package command
