// Package catalog holds the configuration in force: routes, services, teams and their keys. New checks a description
// as a whole. The Catalog that it returns looks up the route of a caller's database name and the team of its key.
package catalog
