// Command cedarseam runs one ingress. It accepts client requests over RESP, applies the decisions
// of package choice and forwards the requests to backends. The environment variable NODE_CONFIG
// names its configuration file.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cedarseam/internal/eventlog"
	"cedarseam/internal/ingress"
	"cedarseam/internal/shutdown"
)

const (
	// logModeVariable is an environment variable. With the value "detailed" the program logs every
	// request, attempt and connection from its start.
	logModeVariable = "CEDARSEAM_LOG"
	logFlushTimeout = 100 * time.Millisecond // limits the wait for the last log lines before exit
)

func main() {
	logWriter := eventlog.NewWriter(os.Stderr)
	log := eventlog.New(logWriter, os.Getenv(logModeVariable) == "detailed")
	slog.SetDefault(log.Logger())
	err := run(log)
	logWriter.Flush(logFlushTimeout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cedarseam:", err)
		os.Exit(1)
	}
}

func run(log *eventlog.Log) error {
	// Signals are handled before the configuration is read: by default they end the process.
	ctx := terminationContext()
	signal.Ignore(syscall.SIGPIPE) // a closed log pipe must not end the process
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	cfg, err := ingress.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return nil // stopped before any client was accepted
	}
	cfg.Limits.Apply()
	cfg.Log = log
	server, err := ingress.Listen(cfg)
	if err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "address", server.Addr().String())
	go func() {
		for range reloadSignals {
			if reloaded, err := ingress.ReloadConfig(os.Getenv); err != nil {
				slog.Error("configuration reload failed, keeping the previous configuration", "error", err)
			} else {
				slog.Info("configuration reloaded", "discovery", reloaded.Discovery)
				server.Reload(reloaded)
			}
		}
	}()
	return server.Serve(ctx)
}

// terminationContext returns a context that is cancelled by SIGTERM or SIGINT. Its cause is a
// shutdown.RequestedError with the time of the signal, from which the time until the process may
// be killed counts.
func terminationContext() context.Context {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		<-signals
		cancel(shutdown.RequestedError{At: time.Now()})
	}()
	return ctx
}
