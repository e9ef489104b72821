// Package lending makes the control leader the owner of the teams' rates and bursts.
package lending
