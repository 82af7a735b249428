// Package reloader reads the settings file again when the process gets SIGHUP
// or the file changes. A file that is broken changes nothing.
package reloader

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/process/configurer"
)

// checkInterval is how often the file is compared with what was read, as it may
// change without a signal.
const checkInterval = 2 * time.Second

// Reloader watches one settings file.
type Reloader struct {
	Path string
	// Apply puts settings in force, and returns what it cannot change.
	Apply func(settings configurer.Settings) error

	Clock clockwork.Clock
	Log   *slog.Logger

	seen []byte
}

// Start watches until the context ends. SIGHUP is caught when it returns. The
// clean-up function waits for the end of the watch.
func (r *Reloader) Start(ctx context.Context) (cleanup func()) {
	text, err := os.ReadFile(r.Path)
	if err == nil {
		r.seen = text
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.watch(ctx, hangups)
	}()
	return func() {
		cancel()
		<-done
		signal.Stop(hangups)
	}
}

func (r *Reloader) watch(ctx context.Context, hangups <-chan os.Signal) {
	ticker := r.Clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
			r.Log.Info("Reading the settings again, as the process got a signal.")
			r.Check("signal")
		case <-ticker.Chan():
			r.Check("change")
		case <-ctx.Done():
			return
		}
	}
}

// Check reads the file and applies it where it changed. The cause stands in the
// log.
func (r *Reloader) Check(cause string) {
	text, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.Warn("The settings cannot be read; the old ones stay in force.", "cause", cause, "err", err)
		return
	}
	if bytes.Equal(text, r.seen) {
		r.Log.Debug("The settings are unchanged.", "cause", cause)
		return
	}
	r.seen = text
	settings, err := configurer.Parse(r.Path, text)
	if err == nil {
		err = r.Apply(settings)
	}
	if err != nil {
		r.Log.Warn("The settings are not taken; the old ones stay in force.", "cause", cause, "err", err)
		return
	}
	r.Log.Info("The settings were read again.", "cause", cause)
}
