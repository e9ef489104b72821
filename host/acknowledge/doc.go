// Package acknowledge waits until a write may be answered: replicated to a majority and known to the session's holders.
package acknowledge
