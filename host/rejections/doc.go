// Package rejections collects why this host rejected requests, for the explain command.
package rejections
