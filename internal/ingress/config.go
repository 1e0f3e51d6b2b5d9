// Package ingress is a load-balancing proxy between clients and backends. It runs one
// gateway of package choice on real sockets: it turns what happens on connections into
// events of the gateway and carries out the actions that the gateway decides on. It
// makes no load-balancing decisions itself.
//
// One goroutine, the loop (loop.go), owns the gateway. The goroutines of connections do
// the I/O and post events to the loop: accept.go, input_pacer.go and the files of clients
// (client.go, client_reader.go, client_refusal.go, client_presence.go, client_writer.go,
// client_end.go) serve clients, pool.go, attempt.go and
// conn.go send requests to backends, and sources.go and discovery.go follow the list of
// backends. command.go and frame.go parse and encode the protocol, memory.go and
// request_ids.go limit what is held for clients, and shutdown.go drains a Server that is told
// to stop.
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

// Limits are the resources that the deployment grants to one ingress.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// How the limits are divided, and their defaults. The rest of the memory is for socket
// buffers and the runtime. The reserved file descriptors are for the rest of the
// process: three standard files, the listener, those of the runtime's network poller, a
// connection just accepted, the configuration file when it is reloaded, and discovery,
// which may be called at two addresses at once.
const (
	heapMemoryShare       = 0.6
	gcPercent             = 400 // the live heap is small, so memory is traded for CPU time
	clientSocketShare     = 0.55
	extraClientDivisor    = 8 // a full table takes this part more, each for one answer
	backendSocketShare    = 0.35
	reservedSockets       = 12
	defaultSockets        = 1024
	defaultMemoryMB       = 192
	listMemoryDivisor     = 16      // the text of one list may take this part of the memory
	listBytesFloor        = 4 << 20 // a list of this many bytes is accepted in any case
	customerMemoryDivisor = 4       // the records of customers may take this part of the memory
	bytesPerCustomer      = 1400    // size of the record of one customer
	customersFloor        = 1024    // this many records are kept in any case
	runtimeBytes          = 3 << 20 // what the runtime needs besides the heap for clients
	bytesPerSocket        = 8 << 10 // buffers, stacks and records of one connection
	minSharedDivisor      = 8       // customers, clients and ids share this part of the memory in any case
	// memoryShares is the sum of the shares of customers, clients and request ids.
	memoryShares = 1.0/customerMemoryDivisor + 1.0/clientMemoryDivisor + 1.0/idMemoryDivisor
)

// Apply sets the limits of the Go runtime, for the whole process.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(heapMemoryShare * float64(l.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

// maxClients returns the maximum number of connections of clients.
func (l Limits) maxClients() int {
	return max(1, int(clientSocketShare*float64(l.Sockets-reservedSockets)))
}

// maxExtraClients returns the number of connections of clients above maxClients that may be
// opened while all others are in use, each of which is closed after its first answer.
func (l Limits) maxExtraClients() int { return l.maxClients() / extraClientDivisor }

// maxBackendConns returns the maximum number of connections to backends.
func (l Limits) maxBackendConns() int {
	return max(1, int(backendSocketShare*float64(l.Sockets-reservedSockets)))
}

// maxListBytes returns the maximum size of the text of a list of backends.
func (l Limits) maxListBytes() int { return max(listBytesFloor, l.MemoryMB<<20/listMemoryDivisor) }

// sharedMemory returns the number of bytes of which customers, clients and request ids have
// their shares. It is the memory limit, or less if the sum of the shares would not fit beside
// what the runtime and all connections need.
func (l Limits) sharedMemory() int {
	memory := float64(l.MemoryMB << 20)
	available := heapMemoryShare*memory - runtimeBytes - bytesPerSocket*float64(l.Sockets)
	return int(max(memory/minSharedDivisor, min(memory, available/memoryShares)))
}

// maxCustomers returns the maximum number of records of customers.
func (l Limits) maxCustomers() int {
	return max(customersFloor, l.sharedMemory()/customerMemoryDivisor/bytesPerCustomer)
}

// Config is the configuration of one ingress.
type Config struct {
	Name          string
	Listen        string
	Discovery     string
	Seed          uint64
	Limits        Limits
	LastKnownList membership.List
	Log           *eventlog.Log // nil disables logging
	Choice        choice.Config

	// The index of each class, plan, zone and kind in the settings, by its name.
	classes map[string]int
	plans   map[string]int
	zones   map[string]int
	kinds   map[string]int

	backendIdleTimeout time.Duration // backends close connections that are idle for this long
	connectTimeout     time.Duration
	centralDiscovery   bool // discovery is one service for all ingresses, not a local agent
}

// discoveryTiming returns the timing of calls to discovery.
func (cfg *Config) discoveryTiming() discoveryTiming {
	if cfg.centralDiscovery {
		return serviceTiming(cfg.Choice.Gateways, cfg.Choice.DrainGrace)
	}
	return agentTiming(cfg.Choice.DrainGrace)
}

// LoadConfig reads the configuration file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN
// and NODE_DISCOVERY replace fields that are missing from the file.
func LoadConfig(getenv func(string) string) (Config, error) {
	return loadConfig(getenv, ParseConfig)
}

// ReloadConfig reads the configuration file again while requests are being served. It
// skips the list of backends in the file, which may be long and is older than the list
// in force.
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
		return Config{}, fmt.Errorf("configuration %s: listen or discovery address is missing", path)
	}
	return cfg, nil
}

// knownField is the JSON field of the last known list of backends.
const knownField = "known"

// ParseConfig decodes a configuration, with its list of backends if it has one.
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

// parseConfig decodes a configuration from which the list of backends has been removed.
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
	// Settings that only this package needs: the names used in the protocol and in the
	// list of backends, and the timeouts of connections.
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
		Choice:  choiceConfig,
		classes: map[string]int{}, plans: map[string]int{}, zones: map[string]int{}, kinds: map[string]int{},
		backendIdleTimeout: millisToDuration(s.Bounds.ConnIdle),
		connectTimeout:     millisToDuration(s.Bounds.ConnectTimeout),
		centralDiscovery:   centralDiscovery,
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
