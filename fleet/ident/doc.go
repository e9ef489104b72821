// Package ident holds the named types for ids and units that all parts of the fleet share.
package ident
