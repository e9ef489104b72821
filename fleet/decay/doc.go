// Package decay provides sums whose parts decay exponentially with their age, for rates and recent counts.
package decay
