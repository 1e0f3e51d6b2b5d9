package wire

import (
	"testing"
	"time"
)

// What connections cost and how long they are kept comes with the settings;
// where nothing is said of it, picks must not weigh it.
func TestParseConfigConnectionCosts(t *testing.T) {
	cfg, _, err := ParseConfig([]byte(`{"bounds":{"conn_idle_ms":30000,"connect_timeout_ms":250},"prices":{"handshake":0.08,"cross_zone":0.02}}`))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.HandshakeCost != 0.08 || cfg.ConnIdleTimeout != 30*time.Second || cfg.CrossZoneCost != 0.02 {
		t.Errorf("handshakes cost %v, connections are kept %v, zones cost %v; want 0.08, 30s, 0.02",
			cfg.HandshakeCost, cfg.ConnIdleTimeout, cfg.CrossZoneCost)
	}
	if cfg.ConnectTimeout != 250*time.Millisecond {
		t.Errorf("a connection may take %v, want 250ms", cfg.ConnectTimeout)
	}
	if cfg, _, err = ParseConfig([]byte(`{}`)); err != nil || cfg.HandshakeCost != 0 || cfg.ConnIdleTimeout != 0 {
		t.Errorf("empty settings: handshakes cost %v, connections are kept %v, error %v; want 0, 0, none",
			cfg.HandshakeCost, cfg.ConnIdleTimeout, err)
	}
}
