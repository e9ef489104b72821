// Package measure runs fleets and prints Markdown tables of results. Run prints the measures and bounds of section 2 of the
// design page, Compare prints the cost of the proxy, and Capacity prints the resources that a host needs as the fleet grows.
package measure
