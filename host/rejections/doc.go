// Package rejections collects the reasons why this host rejected requests and adds them to its syncs with the control leader,
// for the explain command.
package rejections
