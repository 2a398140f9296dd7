// This file defines the parsing and validation of single values.

package setup

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
)

// NamePattern matches names of instances, accounts, services and job kinds.
var NamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)

func parse(name string, field protoreflect.FieldDescriptor, r *wire.Rule, text string) (protoreflect.Value, error) {
	invalid := &Error{Setting: name, Value: text, Allowed: describeAllowed(field, r)}
	switch field.Kind() {
	case protoreflect.StringKind:
		if !hasForm(r.Form, text) || (len(r.OneOf) > 0 && !slices.Contains(r.OneOf, text)) {
			return protoreflect.Value{}, invalid
		}
		return protoreflect.ValueOfString(text), nil
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil || !inRange(r, float64(n)) {
			return protoreflect.Value{}, invalid
		}
		return protoreflect.ValueOfUint32(uint32(n)), nil
	case protoreflect.DoubleKind:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || !inRange(r, n) {
			return protoreflect.Value{}, invalid
		}
		return protoreflect.ValueOfFloat64(n), nil
	case protoreflect.MessageKind:
		d, err := time.ParseDuration(text)
		if err != nil || !inRange(r, float64(d)/float64(time.Millisecond)) {
			return protoreflect.Value{}, invalid
		}
		return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()), nil
	default:
		return protoreflect.Value{}, invalid
	}
}

func inRange(r *wire.Rule, v float64) bool {
	// The last comparison is false for NaN.
	return (r.Min == nil || v >= *r.Min) && (r.Max == nil || v <= *r.Max) && v == v
}

func hasForm(form wire.Form, text string) bool {
	switch form {
	case wire.Form_FORM_ADDRESS:
		return isAddress(text)
	case wire.Form_FORM_NAME:
		return NamePattern.MatchString(text)
	case wire.Form_FORM_MEMBER:
		name, address, ok := strings.Cut(text, "=")
		return ok && NamePattern.MatchString(name) && isAddress(address)
	case wire.Form_FORM_IP:
		return net.ParseIP(text) != nil
	default:
		return true
	}
}

// isAddress accepts IP addresses and localhost only, since the platform does not
// guarantee a DNS resolver.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0 && (host == "localhost" || net.ParseIP(host) != nil)
}

func describeAllowed(field protoreflect.FieldDescriptor, r *wire.Rule) string {
	switch {
	case len(r.OneOf) > 0:
		return strings.Join(r.OneOf, ", ")
	case r.Form == wire.Form_FORM_ADDRESS:
		return "IP:PORT or localhost:PORT"
	case r.Form == wire.Form_FORM_NAME:
		return "1 to 64 of a-z, 0-9 and '-'"
	case r.Form == wire.Form_FORM_IP:
		return "an IP number"
	case r.Form == wire.Form_FORM_MEMBER:
		return "NAME=IP:PORT, separated by commas"
	case field.Kind() == protoreflect.MessageKind:
		return "a duration" + describeBounds(r, "ms")
	default:
		return "a number" + describeBounds(r, "")
	}
}

func describeBounds(r *wire.Rule, unit string) string {
	if r.Min == nil || r.Max == nil {
		return ""
	}
	return fmt.Sprintf(" from %s%s to %s%s", formatFloat(*r.Min), unit, formatFloat(*r.Max), unit)
}

func formatFloat(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}
