// Command tamarack is the operators' program for the text and the keys.
package main
