// This file implements Journal, the record of what was executed.

package front

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

type (
	// Event is a line of a journal.
	Event struct {
		At      time.Time
		Source  string
		Kind    string
		ID      string
		Attempt uint32 `json:",omitempty"`
		Unit    uint64 `json:",omitempty"`
	}

	// Journal appends events to a file. Each event is a single write, so that a killed
	// process leaves no partial lines. A nil Journal discards events.
	Journal struct {
		mu     sync.Mutex
		file   *os.File
		source string
	}
)

// OpenJournal opens a file for appending. It returns nil if path is empty.
func OpenJournal(path, source string) (*Journal, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return &Journal{file: file, source: source}, nil
}

// Add appends an event with the current time.
func (j *Journal) Add(kind, id string, attempt uint32, unit uint64) {
	if j == nil {
		return
	}
	data, err := json.Marshal(Event{At: time.Now(), Source: j.source, Kind: kind, ID: id, Attempt: attempt, Unit: unit})
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	// The audit counts work whose event is missing as not done.
	_, _ = j.file.Write(append(data, '\n'))
}
