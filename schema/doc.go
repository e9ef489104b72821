// Command schema generates the Go code of the messages and settings from the .proto files beside it.
//
// It compiles with a Go library, since the validation rules that the schema imports are at hand only as Go descriptors.
package main
