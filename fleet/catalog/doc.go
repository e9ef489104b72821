// Package catalog holds the configuration in force: routes, services, teams and their keys, checked as a whole, and
// answers which route and team a caller's database name and key stand for.
package catalog
