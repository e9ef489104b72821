// Package sqlstate is the single table of rejections and outcomes: what a caller is told, under which code, and whether
// its statement ran.
package sqlstate
