// Command tamarack-standin is one upstream of a stand-in database group.
package main
