// Package reloader reloads the settings file when the process receives SIGHUP
// or the file changes. An invalid file changes nothing.
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

// checkInterval is how often the file is checked for changes, as it may change
// without a signal.
const checkInterval = 2 * time.Second

// Reloader watches one settings file.
type Reloader struct {
	Path string
	// Apply applies the new settings. It returns an error if they change a setting
	// that cannot be changed while the process runs.
	Apply func(settings configurer.Settings) error

	Clock clockwork.Clock
	Log   *slog.Logger

	// lastText is the text that was last read, valid or not.
	lastText []byte
}

// Start watches the file in the background until the context ends. From its
// return on, SIGHUP no longer ends the process. The cleanup function stops the
// watch and waits for it to end.
func (r *Reloader) Start(ctx context.Context) (cleanup func()) {
	text, err := os.ReadFile(r.Path)
	if err == nil {
		r.lastText = text
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
			r.Log.Info("Received SIGHUP; reloading the settings.")
			r.Check("signal")
		case <-ticker.Chan():
			r.Check("change")
		case <-ctx.Done():
			return
		}
	}
}

// Check reads the file and applies its settings if the text has changed. It logs
// errors, together with the cause of the check.
func (r *Reloader) Check(cause string) {
	text, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.Warn("The settings cannot be read; the old ones stay in force.", "cause", cause, "err", err)
		return
	}
	if bytes.Equal(text, r.lastText) {
		r.Log.Debug("The settings are unchanged.", "cause", cause)
		return
	}
	r.lastText = text
	settings, err := configurer.Parse(r.Path, text)
	if err == nil {
		err = r.Apply(settings)
	}
	if err != nil {
		r.Log.Warn("The settings were rejected; the old ones stay in force.", "cause", cause, "err", err)
		return
	}
	r.Log.Info("The settings were reloaded.", "cause", cause)
}
