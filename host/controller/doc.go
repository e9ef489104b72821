// Package controller serves the Control service of a control host. It passes requests to package control, which decides on
// them, and passes the resulting proposals to the control log. A Controller made by New runs from Start until Close.
package controller
