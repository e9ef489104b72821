package directory

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"tamarackshunt.dev/fleet/fleetpb"
)

// maxName bounds the length of a name in an announcement, in bytes.
const maxName = 255

// InvalidError reports an announcement that no host can use.
type InvalidError struct {
	// Field is the part of the announcement at fault, Problem what is wrong with it.
	Field, Problem string
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("the %s %s", e.Field, e.Problem) }

// Check returns an InvalidError for an announcement with a name that cannot be part of a message. Names are sent to all hosts in one
// directory, which can't be serialized with a name that is not UTF-8, and to upstreams as fields that end at a blank or a line
// end. An announcement of an end may name the upstream only.
func Check(a *fleetpb.Announcement) error {
	if err := checkName("id", a.GetUpstream()); err != nil {
		return err
	}
	if a.GetGone() && a.GetService() == "" {
		return nil
	}
	if err := checkName("service", a.GetService()); err != nil {
		return err
	}
	if err := checkName("address", a.GetAddress()); err != nil {
		return err
	}
	return CheckZone(a.GetZone())
}

// CheckZone returns an InvalidError for a text that cannot be the name of an availability zone. It is sent to hosts only, so it may
// contain blanks.
func CheckZone(zone string) error {
	return checkText("zone", zone)
}

// checkName checks a text that is a field of a line.
func checkName(field, name string) error {
	if strings.ContainsFunc(name, unicode.IsSpace) {
		return &InvalidError{field, "contains a blank"}
	}
	return checkText(field, name)
}

func checkText(field, text string) error {
	switch {
	case text == "":
		return &InvalidError{field, "is missing"}
	case len(text) > maxName:
		return &InvalidError{field, "is too long"}
	case !utf8.ValidString(text):
		return &InvalidError{field, "is not UTF-8"}
	case strings.ContainsFunc(text, unicode.IsControl):
		return &InvalidError{field, "contains a control character"}
	}
	return nil
}
