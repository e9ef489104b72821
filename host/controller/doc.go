// Package controller serves the Control service of a control host: it passes messages to the decisions of package control
// and their proposals to the control log.
package controller
