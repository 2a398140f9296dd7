// This file defines Binder, which loads settings.

// Package setup loads a settings message from flags, environment variables and a
// settings file, and validates the values by the rules in its schema.
//
// A setting named DataFolder is the flag --data-folder, the variable
// SYCAMOREDECK_DATA_FOLDER and the field DataFolder of the settings file, in this order
// of precedence. Elements of lists are separated by commas.
package setup

import (
	"fmt"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/spf13/pflag"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sycamoredeck.example/internal/schema/wire"
)

// EnvPrefix is the common prefix of all environment variables that are read.
const EnvPrefix = "SYCAMOREDECK_"

type (
	// Error reports an invalid setting.
	Error struct {
		Setting, Value, Allowed string
	}

	option struct {
		path  []protoreflect.FieldDescriptor
		rule  *wire.Rule
		value *string
	}

	// Binder binds a settings message to a set of flags.
	Binder struct {
		message proto.Message
		flags   *pflag.FlagSet
		options map[string]*option
		// LookupEnv and Environ read the environment. They default to the functions
		// of package os.
		LookupEnv func(string) (string, bool)
		Environ   func() []string
	}
)

var _ error = (*Error)(nil)

// Error returns a line with the setting, its value and the allowed values.
func (e *Error) Error() string {
	return fmt.Sprintf("setting --%s (%s): %q is not allowed; allowed: %s", e.Setting, envVar(e.Setting), e.Value, e.Allowed)
}

// Bind adds a flag for each setting of the message and of nested messages.
func Bind(message proto.Message, flags *pflag.FlagSet) *Binder {
	b := &Binder{message: message, flags: flags, options: map[string]*option{}}
	b.add(message.ProtoReflect().Descriptor(), nil)
	return b
}

func (b *Binder) add(d protoreflect.MessageDescriptor, path []protoreflect.FieldDescriptor) {
	for i := range d.Fields().Len() {
		field := d.Fields().Get(i)
		fieldPath := append(append([]protoreflect.FieldDescriptor(nil), path...), field)
		rule, _ := proto.GetExtension(field.Options(), wire.E_Rule).(*wire.Rule)
		if rule == nil {
			b.add(field.Message(), fieldPath)
			continue
		}
		name := strings.ReplaceAll(string(field.Name()), "_", "-")
		o := &option{path: fieldPath, rule: rule}
		o.value = b.flags.String(name, "", usage(name, rule))
		b.options[name] = o
	}
}

func usage(name string, r *wire.Rule) string {
	text := r.Help
	if r.Fallback != "" {
		text += "; default " + r.Fallback
	}
	if r.Required {
		text += "; required"
	}
	return fmt.Sprintf("%s (%s)", text, envVar(name))
}

func envVar(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Load reads all settings into the message. It returns an *Error for the first invalid
// setting in the order of names.
func (b *Binder) Load() error {
	if b.LookupEnv == nil {
		b.LookupEnv = os.LookupEnv
	}
	if b.Environ == nil {
		b.Environ = os.Environ
	}
	if err := b.checkUnknown(); err != nil {
		return err
	}
	fromFile, err := b.readFile()
	if err != nil {
		return err
	}
	names := make([]string, 0, len(b.options))
	for n := range b.options {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		if err := b.load(n, b.options[n], fromFile); err != nil {
			return err
		}
	}
	return nil
}

// checkUnknown rejects environment variables with the prefix that are no settings, since
// a misspelt one would have no effect.
func (b *Binder) checkUnknown() error {
	known := knownEnvVars()
	for _, p := range b.Environ() {
		name, value, _ := strings.Cut(p, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			flag := strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, EnvPrefix), "_", "-"))
			return &Error{Setting: flag, Value: value, Allowed: "only known settings; this one isn't"}
		}
	}
	return nil
}

// knownEnvVars returns the variables of all commands, since several commands may share an
// environment.
func knownEnvVars() map[string]bool {
	known := map[string]bool{FileEnvVar: true}
	messages := wire.File_sycamoredeck_v1_settings_proto.Messages()
	for i := range messages.Len() {
		fields := messages.Get(i).Fields()
		for k := range fields.Len() {
			name := strings.ReplaceAll(string(fields.Get(k).Name()), "_", "-")
			known[envVar(name)] = true
		}
	}
	return known
}

func (b *Binder) load(name string, o *option, fromFile map[string]string) error {
	text := b.lookup(name, fromFile)
	field := o.path[len(o.path)-1]
	if text == "" {
		if !o.rule.Required || b.lookup(o.rule.Unless, fromFile) != "" {
			return nil
		}
		return &Error{Setting: name, Value: "", Allowed: "a value; " + o.rule.Help}
	}
	target := b.message.ProtoReflect()
	for _, f := range o.path[:len(o.path)-1] {
		target = target.Mutable(f).Message()
	}
	if field.IsList() {
		return setList(target, name, field, o.rule, text)
	}
	value, err := parse(name, field, o.rule, text)
	if err != nil {
		return err
	}
	target.Set(field, value)
	return nil
}

// lookup returns the value of a setting from its flag, its variable, the settings file or
// its default, in this order. It returns "" if there is none or the setting is unknown.
func (b *Binder) lookup(name string, fromFile map[string]string) string {
	o := b.options[name]
	if o == nil {
		return ""
	}
	if b.flags.Changed(name) {
		return *o.value
	}
	if fromEnv, ok := b.LookupEnv(envVar(name)); ok {
		return fromEnv
	}
	if value, ok := fromFile[name]; ok {
		return value
	}
	return o.rule.Fallback
}

func setList(target protoreflect.Message, name string, field protoreflect.FieldDescriptor, r *wire.Rule, text string) error {
	list := target.Mutable(field).List()
	for _, p := range strings.Split(text, ",") {
		value, err := parse(name, field, r, strings.TrimSpace(p))
		if err != nil {
			return err
		}
		list.Append(value)
	}
	return nil
}

// AdvertisedAddress returns the address at which other processes reach an instance.
func AdvertisedAddress(common *wire.CommonSettings) string {
	if common.AdvertiseAddress != "" {
		return common.AdvertiseAddress
	}
	return common.ListenAddress
}

// SeedAddresses returns the gRPC addresses of the control replicas named in the settings.
func SeedAddresses(s *wire.SeedSettings) []string {
	var seeds []string
	for _, a := range s.GetSeedAddresses() {
		if host, _, err := net.SplitHostPort(a); err == nil && s.SeedPort != 0 {
			a = net.JoinHostPort(host, strconv.FormatUint(uint64(s.SeedPort), 10))
		}
		seeds = append(seeds, a)
	}
	return seeds
}
