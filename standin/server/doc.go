// Package server speaks the server side of the PostgreSQL protocol for one stand-in upstream.
package server
