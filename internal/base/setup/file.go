// This file defines the reading of the settings file.

package setup

import (
	"encoding/json"
	"fmt"
	"os"
)

// FileEnvVar names the environment variable that holds the path of the settings file.
// Flags and other environment variables take precedence over the file.
const FileEnvVar = EnvPrefix + "SETTINGS"

// readFile reads the settings file into values by option name. The file is a JSON
// object of strings whose keys are the JSON names of the settings' fields.
func (b *Binder) readFile() (map[string]string, error) {
	path, ok := b.LookupEnv(FileEnvVar)
	if !ok || path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Setting: "settings", Value: path, Allowed: fmt.Sprintf("a file that can be read (%v)", err)}
	}
	named := map[string]string{}
	if err := json.Unmarshal(data, &named); err != nil {
		return nil, &Error{Setting: "settings", Value: path, Allowed: fmt.Sprintf("a JSON object of strings (%v)", err)}
	}
	values := map[string]string{}
	for n, o := range b.options {
		field := o.path[len(o.path)-1].JSONName()
		if value, ok := named[field]; ok {
			values[n] = value
			delete(named, field)
		}
	}
	for f, v := range named {
		return nil, &Error{Setting: f, Value: v, Allowed: "only known settings; this one in " + path + " isn't"}
	}
	return values, nil
}
