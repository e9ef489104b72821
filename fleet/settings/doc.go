// Package settings reads YAML files whose shape a protobuf message gives, and checks them.
package settings
