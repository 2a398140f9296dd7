// This file defines the reloading of settings.

package setup

import (
	"bytes"
	"context"
	"os"
	"time"

	"google.golang.org/protobuf/proto"
)

// watchInterval is the interval at which the settings file is checked for changes that
// came without a signal.
const watchInterval = time.Second

// Reload reads all settings into a new message of the same type. It leaves the loaded
// settings unchanged, so that an invalid file has no effect.
func (b *Binder) Reload() (proto.Message, error) {
	reloaded := *b
	reloaded.message = b.message.ProtoReflect().New().Interface()
	if err := reloaded.Load(); err != nil {
		return nil, err
	}
	return reloaded.message, nil
}

// Watch calls changed after each signal and after each change of the settings file, until
// the context is done.
func (b *Binder) Watch(ctx context.Context, signals <-chan os.Signal, changed func()) {
	last := b.readContent()
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
		now := b.readContent()
		if signalled || !bytes.Equal(now, last) {
			changed()
		}
		last = now
	}
}

// readContent returns the content of the settings file, or nil if there is none. Read
// errors are reported by Load.
func (b *Binder) readContent() []byte {
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
