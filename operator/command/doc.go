// Package command is the command line of the operators' program: its commands, their output and exit codes.
package command
