package settings

import (
	"os"

	"buf.build/go/protovalidate"
	"buf.build/go/protoyaml"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// Read fills message from the YAML file at path; a mistake names file, line, column, field and what was expected.
func Read(path string, message proto.Message) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return Parse(path, data, message)
}

// Parse fills message from YAML data; path only names the source in errors.
func Parse(path string, data []byte, message proto.Message) error {
	validator, err := protovalidate.New()
	if err != nil {
		return trace.Wrap(err)
	}
	options := protoyaml.UnmarshalOptions{Path: path, Validator: rules{validator}}
	if err := options.Unmarshal(data, message); err != nil {
		return trace.BadParameter("%s", err.Error())
	}
	return nil
}

// rules adapts protovalidate's validator, whose Validate takes options, to the one that protoyaml calls.
type rules struct {
	validator protovalidate.Validator
}

func (r rules) Validate(message proto.Message) error {
	return r.validator.Validate(message)
}
