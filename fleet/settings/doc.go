// Package settings reads YAML files into protobuf messages, whose schema defines the fields and their validation rules.
// It reports every mistake with its location in the file.
package settings
