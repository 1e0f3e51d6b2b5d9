// Package ingress runs one gateway of package choice on real sockets. It turns
// what happens on connections into the gateway's events and carries out its
// actions; it decides nothing itself.
//
// One goroutine owns the gateway (loop.go). Goroutines of connections do the
// I/O and send it events: client.go towards clients, conn.go towards
// backends, discovery.go towards discovery. command.go reads and writes the
// protocol.
package ingress

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"cedarseam/choice"
	"cedarseam/internal/eventlog"
	"cedarseam/internal/jsontext"
	"cedarseam/internal/membership"
	"cedarseam/internal/wire"
)

// Limits are what the deployment lets one ingress use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Shares of the limits. The rest of the memory is for socket buffers and the
// runtime. Whatever clients and backends hold, some descriptors are kept back
// for the rest of the process: three standard files, the listener, those of the
// runtime's poller, a connection just accepted, the configuration read again,
// and discovery, which may be called at two addresses at once.
const (
	heapMemoryShare       = 0.6
	gcPercent             = 400 // the heap in use is small: trade memory for CPU
	clientSocketShare     = 0.55
	backendSocketShare    = 0.35
	reservedSockets       = 12
	defaultSockets        = 1024
	defaultMemoryMB       = 192
	listMemoryDivisor     = 16      // of the memory: what the text of one list may take
	listBytesFloor        = 4 << 20 // bytes that it may take in any case
	customerMemoryDivisor = 4       // of the memory: what the records of customers may take
	bytesPerCustomer      = 1400    // of one record, as measured
	customersFloor        = 1024    // records that are kept in any case
)

// Apply sets the Go runtime's bounds for the whole process.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(heapMemoryShare * float64(l.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

func (l Limits) maxClients() int {
	return max(1, int(clientSocketShare*float64(l.Sockets-reservedSockets)))
}
func (l Limits) maxBackendConns() int {
	return max(1, int(backendSocketShare*float64(l.Sockets-reservedSockets)))
}

// maxListBytes bounds the text of a maxListBytes of backends, in bytes.
func (l Limits) maxListBytes() int { return max(listBytesFloor, l.MemoryMB<<20/listMemoryDivisor) }

// maxCustomers bounds the records of maxCustomers.
func (l Limits) maxCustomers() int {
	return max(customersFloor, l.MemoryMB<<20/customerMemoryDivisor/bytesPerCustomer)
}

// Config is all that one ingress is told at its start.
type Config struct {
	Name          string
	Listen        string
	Discovery     string
	Seed          uint64
	Limits        Limits
	LastKnownList membership.List
	Log           *eventlog.Log // nil writes nothing
	Choice        choice.Config

	classes            map[string]int
	plans              map[string]int
	zones              map[string]int
	kinds              map[string]int
	backendIdleTimeout time.Duration // a backend closes connections idle for so long
	connectTimeout     time.Duration
	centralDiscovery   bool // the list of backends has to be asked for
}

// discoveryTiming is how discovery is followed.
func (cfg *Config) discoveryTiming() discoveryTiming {
	if cfg.centralDiscovery {
		return serviceTiming(cfg.Choice.Gateways, cfg.Choice.DrainGrace)
	}
	return agentTiming(cfg.Choice.DrainGrace)
}

// LoadConfig reads the file that NODE_CONFIG names. The other NODE_ variables
// stand in for what the file leaves out.
func LoadConfig(getenv func(string) string) (Config, error) {
	return loadConfig(getenv, ParseConfig)
}

// ReloadConfig reads the file once more, beside the requests that are served.
// The list of backends in it, which may be long, is older than the one in force
// and is left out.
func ReloadConfig(getenv func(string) string) (Config, error) {
	return loadConfig(getenv, func(data []byte) (Config, error) {
		rest, _, err := jsontext.ExtractField(data, knownField, newPacer().pause)
		if err != nil {
			return Config{}, err
		}
		return parseConfig(rest)
	})
}

func loadConfig(getenv func(string) string, parse func([]byte) (Config, error)) (Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("NODE_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := parse(data)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	for name, field := range map[string]*string{
		"NODE_NAME": &cfg.Name, "NODE_LISTEN": &cfg.Listen, "NODE_DISCOVERY": &cfg.Discovery,
	} {
		if *field == "" {
			*field = getenv(name)
		}
	}
	if cfg.Listen == "" || cfg.Discovery == "" {
		return Config{}, fmt.Errorf("configuration %s: the address of clients or of discovery is missing", path)
	}
	return cfg, nil
}

// knownField is the name of the list of backends in a configuration.
const knownField = "known"

// ParseConfig decodes a configuration.
func ParseConfig(data []byte) (Config, error) {
	rest, list, err := jsontext.ExtractField(data, knownField, nil)
	if err != nil {
		return Config{}, err
	}
	cfg, err := parseConfig(rest)
	if err != nil || list == nil || string(list) == "null" {
		return cfg, err
	}
	if cfg.LastKnownList, err = membership.Decode(list, &membership.DecodeCache{}); err != nil {
		return Config{}, fmt.Errorf("known: %w", err)
	}
	return cfg, nil
}

// parseConfig decodes a configuration without a list of backends.
func parseConfig(data []byte) (Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return Config{}, err
	}
	choiceConfig, centralDiscovery, err := wire.ParseConfig(file.Settings)
	if err != nil {
		return Config{}, err
	}
	// What only sockets need: the names on them and the limits of connections.
	var s struct {
		Bounds struct {
			ConnIdle       float64 `json:"conn_idle_ms"`
			ConnectTimeout float64 `json:"connect_timeout_ms"`
		} `json:"bounds"`
		Classes []struct {
			Name string `json:"name"`
		} `json:"request_classes"`
		Plans []struct {
			Name string `json:"name"`
		} `json:"tiers_of_service"`
		Zones []string `json:"zones"`
		Kinds []string `json:"kinds"`
	}
	if err := json.Unmarshal(file.Settings, &s); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	cfg := Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits,
		Choice: choiceConfig, classes: map[string]int{}, plans: map[string]int{}, zones: map[string]int{}, kinds: map[string]int{},
		backendIdleTimeout: millisToDuration(s.Bounds.ConnIdle), connectTimeout: millisToDuration(s.Bounds.ConnectTimeout), centralDiscovery: centralDiscovery,
	}
	if file.Seed != "" {
		if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return Config{}, fmt.Errorf("seed: %w", err)
		}
	}
	for i, c := range s.Classes {
		cfg.classes[c.Name] = i
	}
	for i, p := range s.Plans {
		cfg.plans[p.Name] = i
	}
	for i, z := range s.Zones {
		cfg.zones[z] = i
	}
	for i, k := range s.Kinds {
		cfg.kinds[k] = i
	}
	if cfg.Limits.Sockets <= 0 {
		cfg.Limits.Sockets = defaultSockets
	}
	if cfg.Limits.MemoryMB <= 0 {
		cfg.Limits.MemoryMB = defaultMemoryMB
	}
	cfg.Choice.MaxCustomers = cfg.Limits.maxCustomers()
	if cfg.backendIdleTimeout <= 0 {
		cfg.backendIdleTimeout = 15 * time.Second
	}
	if cfg.connectTimeout <= 0 {
		cfg.connectTimeout = 250 * time.Millisecond
		cfg.Choice.ConnectTimeout = cfg.connectTimeout
	}
	return cfg, nil
}

func millisToDuration(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}
