// Package directory holds what upstreams have announced of themselves, whichever host they told and in whichever order the
// announcements arrive.
package directory
