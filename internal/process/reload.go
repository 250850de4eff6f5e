package process

import (
	"context"
	"os"
	"time"
)

// fileCheckInterval is how often a settings file is looked at, since it may change without a signal.
const fileCheckInterval = 5 * time.Second

// WatchSettings calls reload at each signal, and when the file at path has changed, until ctx ends. Signals that come while it
// runs lead to one more call.
func WatchSettings(ctx context.Context, path string, signals <-chan os.Signal, reload func()) {
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	seen := readFileState(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if readFileState(path) == seen {
				continue
			}
		}
		seen = readFileState(path)
		reload()
	}
}

// fileState tells one state of a file from another.
type fileState struct {
	modified time.Time
	size     int64
}

// readFileState returns the state of a file; a file that cannot be read has one of its own, and reload names its fault.
func readFileState(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{size: -1}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}
