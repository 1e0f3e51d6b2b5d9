package wire

import (
	"testing"
	"time"
)

// Connection costs and time-outs come from the settings. Where the settings omit them they must
// be 0, so that they do not influence the selection of backends.
func TestParseConfigConnectionCosts(t *testing.T) {
	cfg, _, err := ParseConfig([]byte(`{"bounds":{"conn_idle_ms":30000,"connect_timeout_ms":250},
		"prices":{"handshake":0.08,"cross_zone":0.02}}`))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.HandshakeCost != 0.08 || cfg.ConnIdleTimeout != 30*time.Second || cfg.CrossZoneCost != 0.02 {
		t.Errorf("HandshakeCost %v, ConnIdleTimeout %v, CrossZoneCost %v; want 0.08, 30s, 0.02",
			cfg.HandshakeCost, cfg.ConnIdleTimeout, cfg.CrossZoneCost)
	}
	if cfg.ConnectTimeout != 250*time.Millisecond {
		t.Errorf("ConnectTimeout %v, want 250ms", cfg.ConnectTimeout)
	}
	if cfg, _, err = ParseConfig([]byte(`{}`)); err != nil || cfg.HandshakeCost != 0 || cfg.ConnIdleTimeout != 0 {
		t.Errorf("empty settings: HandshakeCost %v, ConnIdleTimeout %v, error %v; want 0, 0, nil",
			cfg.HandshakeCost, cfg.ConnIdleTimeout, err)
	}
}
