// Package measure runs fleets and prints what they achieve beside the bounds of the design page, and what the proxy costs.
package measure
