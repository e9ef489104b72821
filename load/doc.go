// Command tamarack-load starts local fleets, drives load through them and measures.
package main
