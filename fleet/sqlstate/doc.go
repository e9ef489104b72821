// Package sqlstate defines the errors that the proxy sends to callers. One table gives each of them its SQLSTATE code, its
// message, and whether the statement ran.
package sqlstate
