// Package decay measures how much happened lately.
package decay
