// Package access follows the configuration in force on a host. Before each statement it decides whether the key of the statement's caller
// still belongs to the team that it runs for, and it ends the waits of operations that have lost their key.
package access
