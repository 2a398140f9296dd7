// This file defines how one value is parsed and checked.

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

// NamePattern is what instances, accounts, services and job kinds are called.
var NamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)

func parse(name string, field protoreflect.FieldDescriptor, r *wire.Rule, text string) (protoreflect.Value, error) {
	bad := &Error{Setting: name, Value: text, Allowed: allowed(field, r)}
	switch field.Kind() {
	case protoreflect.StringKind:
		if !formOK(r.Form, text) || (len(r.OneOf) > 0 && !slices.Contains(r.OneOf, text)) {
			return protoreflect.Value{}, bad
		}
		return protoreflect.ValueOfString(text), nil
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil || !within(r, float64(n)) {
			return protoreflect.Value{}, bad
		}
		return protoreflect.ValueOfUint32(uint32(n)), nil
	case protoreflect.DoubleKind:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || !within(r, n) {
			return protoreflect.Value{}, bad
		}
		return protoreflect.ValueOfFloat64(n), nil
	case protoreflect.MessageKind:
		d, err := time.ParseDuration(text)
		if err != nil || !within(r, float64(d)/float64(time.Millisecond)) {
			return protoreflect.Value{}, bad
		}
		return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()), nil
	default:
		return protoreflect.Value{}, bad
	}
}

func within(r *wire.Rule, v float64) bool {
	// Written so that a NaN is outside.
	return (r.Min == nil || v >= *r.Min) && (r.Max == nil || v <= *r.Max) && v == v
}

func formOK(form wire.Form, text string) bool {
	switch form {
	case wire.Form_FORM_ADDRESS:
		return addressOK(text)
	case wire.Form_FORM_NAME:
		return NamePattern.MatchString(text)
	case wire.Form_FORM_MEMBER:
		name, address, ok := strings.Cut(text, "=")
		return ok && NamePattern.MatchString(name) && addressOK(address)
	case wire.Form_FORM_IP:
		return net.ParseIP(text) != nil
	default:
		return true
	}
}

// addressOK holds instances to IP numbers: names would need a resolver, which
// the platform doesn't promise.
func addressOK(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0 && (host == "localhost" || net.ParseIP(host) != nil)
}

func allowed(field protoreflect.FieldDescriptor, r *wire.Rule) string {
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
		return "a duration" + bounds(r, "ms")
	default:
		return "a number" + bounds(r, "")
	}
}

func bounds(r *wire.Rule, unit string) string {
	if r.Min == nil || r.Max == nil {
		return ""
	}
	return fmt.Sprintf(" from %s%s to %s%s", number(*r.Min), unit, number(*r.Max), unit)
}

func number(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}
