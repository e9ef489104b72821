// Command schema generates the Go code of the messages and settings from the .proto files under its folder.
//
// It parses the files with a Go library instead of protoc, since the validation rules that they import are available only
// as Go descriptors.
package main
