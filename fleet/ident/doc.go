// Package ident defines the types for ids, log positions and times that all parts of the fleet share.
package ident
