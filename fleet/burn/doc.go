// Package burn measures how fast the fleet uses up its service levels, over a fast and a slow window.
package burn
