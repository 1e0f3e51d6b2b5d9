package ingress

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeConfig writes a configuration file, and returns an environment whose NODE_CONFIG
// names it.
func writeConfig(t *testing.T, known, settings string) (getenv func(string) string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"known":%s,"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":%s}`, known, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] }
}

// ReloadConfig reads everything but the list of backends, which is older than the list in
// force. Invalid files are rejected.
func TestReloadConfigOmitsBackendList(t *testing.T) {
	good := fmt.Sprintf(settingsFormat, 1000)
	env := writeConfig(t, `{"revision":3,"complete":true,"members":[{"id":"a","host_port":"a:1"}]}`, good)
	first, err := LoadConfig(env)
	if err != nil || len(first.LastKnownList.Members) != 1 || first.LastKnownList.Revision != 3 {
		t.Fatalf("LoadConfig returns the list %+v, error %v", first.LastKnownList, err)
	}
	again, err := ReloadConfig(env)
	if err != nil || len(again.LastKnownList.Members) != 0 || again.Discovery != "127.0.0.1:2" || len(again.Choice.Classes) != len(first.Choice.Classes) {
		t.Errorf("ReloadConfig returns %+v, error %v", again, err)
	}
	for what, env := range map[string]func(string) string{
		"invalid settings": writeConfig(t, "null", strings.Replace(good, "single_shot", "other", 1)),
		"truncated file":   writeConfig(t, "{", good[:len(good)-2]),
	} {
		if cfg, err := ReloadConfig(env); err == nil {
			t.Errorf("%s: reloaded as %+v, want an error", what, cfg)
		}
	}
	if _, err := LoadConfig(writeConfig(t, `{"members":5}`, good)); err == nil {
		t.Error("LoadConfig accepts an invalid list")
	}
	if cfg, err := LoadConfig(writeConfig(t, "null", good)); err != nil || cfg.LastKnownList.Complete {
		t.Errorf("without a list: %+v, error %v", cfg.LastKnownList, err)
	}
}

// The maximum number of customers grows with the memory, and is at least 1,024. With little
// memory it falls with the number of descriptors.
func TestMaxCustomersScalesWithMemory(t *testing.T) {
	for _, c := range []struct{ memory, sockets, want int }{
		{1, 256, 1024}, {48, 256, 8987}, {48, 1024, 6955}, {192, 1024, 35951}, {32, 1024, 3204},
	} {
		cfg, err := ParseConfig(fmt.Appendf(nil, `{"limits":{"memory_mb":%d,"sockets":%d},"settings":%s}`,
			c.memory, c.sockets, fmt.Sprintf(settingsFormat, 1000)))
		if err != nil || cfg.Choice.MaxCustomers != c.want {
			t.Errorf("with %d MB and %d descriptors the maximum is %d customers, error %v; want %d",
				c.memory, c.sockets, cfg.Choice.MaxCustomers, err, c.want)
		}
	}
}

// Guards against an ingress that is killed for its memory: what customers, clients, request ids
// and connections may take together fits into the runtime's part of it, from the smallest
// limits on.
func TestMemoryLimitsFitTogether(t *testing.T) {
	for _, limits := range []Limits{
		{MemoryMB: 32, Sockets: 256}, {MemoryMB: 32, Sockets: 1024}, {MemoryMB: 48, Sockets: 1024},
		{MemoryMB: 64, Sockets: 256}, {MemoryMB: 64, Sockets: 1024}, {MemoryMB: 192, Sockets: 1024},
	} {
		cfg, err := ParseConfig(fmt.Appendf(nil, `{"limits":{"memory_mb":%d,"sockets":%d},"settings":%s}`,
			limits.MemoryMB, limits.Sockets, fmt.Sprintf(settingsFormat, 1000)))
		if err != nil {
			t.Fatal(err)
		}
		l, err := newLoop(&cfg)
		if err != nil {
			t.Fatal(err)
		}
		customers := cfg.Choice.MaxCustomers * bytesPerCustomer
		ids := idGenerations * l.requestIDs.sent.capacity * bytesPerID
		connections := (limits.maxClients() + limits.maxExtraClients() + limits.maxBackendConns()) * bytesPerSocket
		sum := customers + int(l.memory.limit) + ids + connections + runtimeBytes
		if available := int(heapMemoryShare * float64(limits.MemoryMB<<20)); sum > available {
			t.Errorf("with %+v the limits add up to %d KB, the runtime has %d KB", limits, sum>>10, available>>10)
		}
	}
}
