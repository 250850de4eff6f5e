package process

import (
	"context"
	"os"
	"time"
)

// fileCheckInterval is the time between two checks of a settings file, which may change without a signal.
const fileCheckInterval = 5 * time.Second

// WatchSettings calls reload after each signal, and when the time of modification or size of the file at path has changed, until
// ctx ends. Several signals that arrive during a call lead to one more call, if the channel has a buffer of one.
func WatchSettings(ctx context.Context, path string, signals <-chan os.Signal, reload func()) {
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	loaded := readFileState(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if readFileState(path) == loaded {
				continue
			}
		}
		loaded = readFileState(path)
		reload()
	}
}

// fileState is compared to find out whether a file has changed.
type fileState struct {
	modified time.Time
	size     int64
}

// readFileState returns the state of a file. All files whose state cannot be read have the same state, unlike any other, so
// that reload is called once and reports the error.
func readFileState(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{size: -1}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}
