// Package page writes the service levels of a report as one self-contained HTML page.
package page
