// Command scale measures the costs of an ingress at deployment sizes beyond today's.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cedarseam/internal/scale"
)

// The exit codes.
const (
	exitOK         = 0
	exitOverBudget = 1 // a figure exceeds its budget
	exitError      = 2 // invalid flags, or the measurement failed
)

// errOverBudget is returned by commands that measured a figure over its budget.
var errOverBudget = errors.New("at least one figure exceeds its budget")

// commands defines the commands and their flags.
type commands struct {
	Slopes slopesCommand `cmd:"" help:"Measure each cost at several sizes and fit its growth."`
	Run    runCommand    `cmd:"" help:"Play one timeline of troubles against many ingresses."`
	List   listCommand   `cmd:"" help:"Measure what a list of backends in a file costs an ingress."`
	Hollow hollowCommand `cmd:"" hidden:"" help:"Run ingresses without clients; started by run."`

	Logs string `help:"Least level of the log lines on standard error." enum:"debug,info,warn,error" default:"info"`
}

// configureLogging makes the default logger write lines of at least the requested level to w.
func (c *commands) configureLogging(w io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Logs)); err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})))
	return nil
}

// output holds the flags for results.
type output struct {
	JSON string `help:"File for the results as JSON." type:"path"`
}

// write prints the table, and writes the results to the JSON file if one is set.
func (o output) write(w io.Writer, table string, results any) error {
	fmt.Fprint(w, table)
	if o.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(o.JSON, append(text, '\n'), 0o644)
}

type slopesCommand struct {
	Backends    []int  `help:"Sizes of the fleet, at least two." default:"1500,3000,6000,12000,24000"`
	Tenants     []int  `help:"Customers met by one ingress, at least two sizes." default:"4000,8000,16000,32000,64000"`
	Connections []int  `help:"Connections of clients, at least two sizes." default:"125,250,500,1000"`
	Repeats     int    `help:"Repetitions of each measurement." default:"5"`
	Ingress     string `help:"The ingress program." default:"bin/cedarseam" type:"existingfile"`
	output
}

const (
	minSizeCount = 2 // a fit needs two points
	maxSize      = 100_000
	maxRepeats   = 100
	minSize      = 80 // two racks of 40 backends
)

// Validate returns an error if a flag has an invalid value. It is called by kong.
func (c *slopesCommand) Validate() error {
	for _, sizes := range [][]int{c.Backends, c.Tenants, c.Connections} {
		if len(sizes) < minSizeCount {
			return fmt.Errorf("%v: a slope needs at least %d sizes", sizes, minSizeCount)
		}
		if smallest, largest := slices.Min(sizes), slices.Max(sizes); smallest < minSize || largest > maxSize {
			return fmt.Errorf("%v: sizes must be from %d to %d", sizes, minSize, maxSize)
		}
	}
	if c.Repeats < 1 || c.Repeats > maxRepeats {
		return fmt.Errorf("--repeats must be from 1 to %d", maxRepeats)
	}
	return nil
}

// Run measures the slopes and writes them.
func (c *slopesCommand) Run(ctx context.Context, stdout io.Writer) error {
	slopes, err := scale.MeasureSlopes(ctx, scale.SlopeOptions{
		Backends: c.Backends, Tenants: c.Tenants, Connections: c.Connections, Repeats: c.Repeats, Ingress: c.Ingress})
	if err != nil {
		return err
	}
	return c.write(stdout, slopes.Markdown(), slopes)
}

type runCommand struct {
	Ingresses int           `help:"Ingresses in all." default:"${ingresses}"`
	Real      int           `help:"Of them, whole processes that carry load." default:"4"`
	Backends  int           `help:"Backends before them." default:"${backends}"`
	Seed      uint64        `help:"Seed of the load." default:"1"`
	Rate      float64       `help:"Requests a second to each real ingress." default:"250"`
	Quiet     time.Duration `help:"How long nothing changes." default:"15s"`
	Release   time.Duration `help:"How long a part of the backends is replaced." default:"30s"`
	Replaced  float64       `help:"Part of the backends that the release replaces." default:"0.05"`
	Zone      time.Duration `help:"How long a zone is lost, and as long again for its return." default:"20s"`
	Cut       time.Duration `help:"How long discovery is cut off from half of the ingresses." default:"30s"`
	Budgets   string        `help:"With enforce, a figure over its budget makes the exit code 1; with report, it is only marked." enum:"enforce,report" default:"enforce"`
	Ingress   string        `help:"The ingress program." default:"bin/cedarseam" type:"existingfile"`
	output
}

const (
	maxIngresses     = 5000
	maxRate          = 2000
	maxPhaseDuration = 10 * time.Minute
)

func (c *runCommand) options() scale.RunOptions {
	return scale.RunOptions{Ingresses: c.Ingresses, Real: c.Real, Backends: c.Backends, Seed: c.Seed, Rate: c.Rate,
		Ingress: c.Ingress, Quiet: c.Quiet, Release: c.Release, Replaced: c.Replaced, Zone: c.Zone, Cut: c.Cut}
}

// Validate returns an error if a flag has an invalid value. It is called by kong.
func (c *runCommand) Validate() error {
	switch {
	case c.Ingresses < 2 || c.Ingresses > maxIngresses:
		return fmt.Errorf("--ingresses must be from 2 to %d", maxIngresses)
	case c.Backends < minSize || c.Backends > maxSize:
		return fmt.Errorf("--backends must be from %d to %d", minSize, maxSize)
	case !(c.Rate > 0) || c.Rate > maxRate:
		return fmt.Errorf("--rate must be above 0 and at most %d", maxRate)
	case !(c.Replaced > 0) || c.Replaced > 1:
		return errors.New("--replaced must be above 0 and at most 1")
	}
	for _, duration := range []time.Duration{c.Quiet, c.Release, c.Zone, c.Cut} {
		if duration < 0 || duration > maxPhaseDuration {
			return fmt.Errorf("--quiet, --release, --zone and --cut must be from 0 to %v", maxPhaseDuration)
		}
	}
	return nil
}

// Run runs the timeline. It returns errOverBudget if the budgets are enforced and a figure
// exceeds its budget.
func (c *runCommand) Run(ctx context.Context, stdout io.Writer) error {
	options := c.options()
	var err error
	if options.Program, err = os.Executable(); err != nil {
		return err
	}
	result, err := scale.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := c.write(stdout, result.Markdown(), result); err != nil {
		return err
	}
	if result.OverBudget() && c.Budgets == "enforce" {
		return errOverBudget
	}
	return nil
}

type listCommand struct {
	File    string `arg:"" help:"A whole list, as discovery tells it." type:"existingfile"`
	Repeats int    `help:"Repetitions of each measurement." default:"5"`
	output
}

// Validate returns an error if a flag has an invalid value. It is called by kong.
func (c *listCommand) Validate() error {
	if c.Repeats < 1 || c.Repeats > maxRepeats {
		return fmt.Errorf("--repeats must be from 1 to %d", maxRepeats)
	}
	return nil
}

// Run measures the list. It returns errOverBudget if a figure exceeds its budget.
func (c *listCommand) Run(stdout io.Writer) error {
	cost, err := scale.MeasureList(c.File, c.Repeats)
	if err != nil {
		return err
	}
	if err := c.write(stdout, cost.Markdown(), cost); err != nil {
		return err
	}
	if cost.OverBudget() {
		return errOverBudget
	}
	return nil
}

// hollowCommand runs ingresses without clients. The command run starts it as a child process.
type hollowCommand struct{}

// Run runs the control-plane-only ingresses that the standard input specifies.
func (hollowCommand) Run(ctx context.Context, stdout io.Writer) error {
	return scale.RunControlPlanes(ctx, os.Stdin, stdout)
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments, runs the command and returns the exit code.
func run(arguments []string, stdout, stderr io.Writer) (code int) {
	var flags commands
	parser, err := kong.New(&flags, kong.Name("scale"), kong.Writers(stdout, stderr),
		kong.Description("Measures what an ingress costs at sizes beyond today's fleets."),
		kong.Vars{"ingresses": strconv.Itoa(scale.TargetIngresses), "backends": strconv.Itoa(scale.TargetBackends)},
		kong.Exit(func(status int) { panic(exitStatus(status)) }))
	if err != nil {
		fmt.Fprintln(stderr, "scale:", err)
		return exitError
	}
	// --help calls kong.Exit inside of the parser.
	defer func() {
		if status, ok := recover().(exitStatus); ok {
			code = int(status)
		}
	}()
	selected, err := parser.Parse(arguments)
	if err != nil {
		fmt.Fprintln(stderr, "scale:", err)
		return exitError
	}
	if err := flags.configureLogging(stderr); err != nil {
		fmt.Fprintln(stderr, "scale:", err)
		return exitError
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	selected.BindTo(ctx, (*context.Context)(nil))
	selected.BindTo(stdout, (*io.Writer)(nil))
	switch err := selected.Run(); {
	case errors.Is(err, errOverBudget):
		fmt.Fprintln(stderr, "scale:", err)
		return exitOverBudget
	case err != nil:
		fmt.Fprintln(stderr, "scale:", err)
		return exitError
	}
	return exitOK
}

// exitStatus is the panic value that carries the status of kong.Exit to run.
type exitStatus int
