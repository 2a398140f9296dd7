// This file defines tests of the loading and validation of settings.

package setup_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/base/setup"
	"sycamoredeck.example/internal/schema/wire"
)

func load(environment map[string]string, args ...string) (*wire.EntrySettings, error) {
	settings := &wire.EntrySettings{}
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	b := setup.Bind(settings, flags)
	b.LookupEnv = func(name string) (string, bool) { v, ok := environment[name]; return v, ok }
	b.Environ = func() []string {
		var list []string
		for k, v := range environment {
			list = append(list, k+"="+v)
		}
		return list
	}
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	return settings, b.Load()
}

var required = []string{
	"--instance-id=e1", "--failure-domain=fd", "--listen-address=127.0.0.1:1", "--control-addresses=127.0.0.1:2, 127.0.0.1:3",
}

func TestSettingsAreRead(t *testing.T) {
	s, err := load(map[string]string{"SYCAMOREDECK_QUEUE_LENGTH": "7", "SYCAMOREDECK_INSTANCE_ID": "from-env"}, required...)
	assert.NilError(t, err)
	assert.Equal(t, s.Common.InstanceId, "e1", "a flag takes precedence over the environment")
	assert.Equal(t, s.QueueLength, uint32(7))
	assert.DeepEqual(t, s.ControlAddresses, []string{"127.0.0.1:2", "127.0.0.1:3"})
	assert.Equal(t, s.EvidenceLimit.AsDuration(), 3*time.Second, "the default")
	assert.Equal(t, s.RetryRatio, 0.1)
}

func TestWrongSettings(t *testing.T) {
	cases := []struct {
		name        string
		environment map[string]string
		args        []string
		want        string
	}{
		{"missing", nil, required[1:], `setting --instance-id (SYCAMOREDECK_INSTANCE_ID): "" is not allowed; allowed: a value; name of this instance, unique in the system`},
		{"unknown variable", map[string]string{"SYCAMOREDECK_QUEUE_DEPTH": "7"}, required, `setting --queue-depth (SYCAMOREDECK_QUEUE_DEPTH): "7" is not allowed; allowed: only known settings; this one isn't`},
		{"above the bound", nil, append([]string{"--max-attempts=11"}, required...), `setting --max-attempts (SYCAMOREDECK_MAX_ATTEMPTS): "11" is not allowed; allowed: a number from 1 to 10`},
		{"not a number", nil, append([]string{"--retry-ratio=NaN"}, required...), `setting --retry-ratio (SYCAMOREDECK_RETRY_RATIO): "NaN" is not allowed; allowed: a number from 0 to 1`},
		{"not a duration", nil, append([]string{"--drain-delay=5"}, required...), `setting --drain-delay (SYCAMOREDECK_DRAIN_DELAY): "5" is not allowed; allowed: a duration from 0ms to 600000ms`},
		{"a name for an address", nil, append([]string{"--admin-address=example:80"}, required...), `setting --admin-address (SYCAMOREDECK_ADMIN_ADDRESS): "example:80" is not allowed; allowed: IP:PORT or localhost:PORT`},
		{"not one of", nil, append([]string{"--log-format=xml"}, required...), `setting --log-format (SYCAMOREDECK_LOG_FORMAT): "xml" is not allowed; allowed: text, json`},
		{"not a name", nil, append([]string{"--instance-id=E 1"}, required[1:]...), `setting --instance-id (SYCAMOREDECK_INSTANCE_ID): "E 1" is not allowed; allowed: 1 to 64 of a-z, 0-9 and '-'`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := load(c.environment, c.args...)
			var setting *setup.Error
			assert.Assert(t, err != nil)
			assert.ErrorType(t, err, setting)
			assert.Equal(t, err.Error(), c.want)
		})
	}
	t.Run("another command's variable", func(t *testing.T) {
		_, err := load(map[string]string{"SYCAMOREDECK_DATA_FOLDER": "/x", "SYCAMOREDECK_OUTPUT": "json"}, required...)
		assert.NilError(t, err)
	})
}

// Guards against a wrong precedence of variables and the file, and against accepting unknown
// names in the file, which would have no effect.
func TestSettingsFile(t *testing.T) {
	cases := []struct {
		name, file, wantError string
	}{
		{"good", `{"InstanceId":"a","FailureDomain":"b","ListenAddress":"127.0.0.1:1","ControlAddresses":"127.0.0.1:2"}`, ""},
		{"seeds instead", `{"InstanceId":"a","FailureDomain":"b","ListenAddress":"127.0.0.1:1","SeedAddresses":"127.0.0.1:2"}`, ""},
		{"unknown name", `{"InstanceID":"a"}`, "InstanceID"},
		{"truncated", `{"InstanceId":`, "JSON object"},
		{"wrong value", `{"InstanceId":"a","FailureDomain":"b","ListenAddress":"here","ControlAddresses":"127.0.0.1:2"}`, "--listen-address"},
		{"neither addresses nor seeds", `{"InstanceId":"a","FailureDomain":"b","ListenAddress":"127.0.0.1:1"}`, "--control-addresses"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings")
			assert.NilError(t, os.WriteFile(path, []byte(c.file), 0o600))
			settings := &wire.EntrySettings{}
			b := setup.Bind(settings, pflag.NewFlagSet("x", pflag.ContinueOnError))
			b.Environ = func() []string { return nil }
			b.LookupEnv = func(name string) (string, bool) {
				if name == "SYCAMOREDECK_INSTANCE_ID" {
					return "from-variable", true
				}
				return path, name == setup.FileEnvVar
			}
			err := b.Load()
			if c.wantError != "" {
				assert.ErrorContains(t, err, c.wantError)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, settings.Common.InstanceId, "from-variable")
			t.Run("a wrong file changes nothing", func(t *testing.T) {
				assert.NilError(t, os.WriteFile(path, []byte("{"), 0o600))
				_, err := b.Reload()
				assert.ErrorContains(t, err, "JSON object")
				assert.Equal(t, settings.Common.FailureDomain, "b")
			})
		})
	}
}
