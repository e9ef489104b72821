// Package route classifies statements and chooses the upstream that runs one.
package route
