// This file defines how changes of the settings file are noticed.

package setup

import (
	"bytes"
	"context"
	"os"
	"time"

	"google.golang.org/protobuf/proto"
)

// watchInterval is how often the settings file is looked at: a file may change
// without a signal, and what it says should hold within a few seconds.
const watchInterval = time.Second

// Reload reads all settings anew into a message of the same type. The settings
// read before are left as they are, so that a wrong file changes nothing.
func (b *Binder) Reload() (proto.Message, error) {
	fresh := *b
	fresh.message = b.message.ProtoReflect().New().Interface()
	if err := fresh.Load(); err != nil {
		return nil, err
	}
	return fresh.message, nil
}

// Watch calls changed after each signal, and when the content of the settings
// file differs, until the context ends.
func (b *Binder) Watch(ctx context.Context, signals <-chan os.Signal, changed func()) {
	last := b.content()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		now := b.content()
		if signalled || !bytes.Equal(now, last) {
			changed()
		}
		last = now
	}
}

// content is what the settings file holds; nil where there is none. That it
// can't be read is reported when it is loaded.
func (b *Binder) content() []byte {
	path, ok := b.LookupEnv(FileEnvVar)
	if !ok {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	return data
}
