package wire

import (
	"encoding/json"
	"fmt"

	"cedarseam/choice"
)

// settings holds the part of an instance's settings that is used here. Unknown keys are ignored.
// Fields with times are in milliseconds.
type settings struct {
	Gateways int `json:"balancers"`
	Bounds   struct {
		Cancelling          bool    `json:"cancelling"`
		MaxRetryAfter       float64 `json:"max_retry_after_ms"`
		Probing             bool    `json:"probing"`
		RetryAfterSupported bool    `json:"retry_after"`
		Hedging             bool    `json:"second_copies"`
		MaxAttempts         int     `json:"try_limit"`
		ConnIdleTimeout     float64 `json:"conn_idle_ms"`
		ConnectTimeout      float64 `json:"connect_timeout_ms"`
	} `json:"bounds"`
	Discovery  string `json:"discovery"`
	Invariants struct {
		InitialCapacity    float64 `json:"cold_from"`
		WarmUpPeriod       float64 `json:"cold_ms"`
		DrainGrace         float64 `json:"drain_grace_ms"`
		ColdOverloadPeriod float64 `json:"fall_ms"`
		ColdOverloadFactor float64 `json:"tip_multiple"`
	} `json:"invariants"`
	Prices struct {
		CrossZoneCost float64 `json:"cross_zone"`
		HandshakeCost float64 `json:"handshake"`
	} `json:"prices"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Classes []struct {
		Aim         float64 `json:"aim_ms"`
		Group       string  `json:"dedup_scope"`
		Effect      string  `json:"effect"`
		Deadline    float64 `json:"give_up_ms"`
		LateWorth   float64 `json:"late_worth"`
		DedupWindow float64 `json:"window_ms"`
		Worth       float64 `json:"worth"`
	} `json:"request_classes"`
	Self      int `json:"self_index"`
	Specifics struct {
		MaxUnits    float64 `json:"max_units"`
		MeterPeriod float64 `json:"use_period_ms"`
	} `json:"specifics"`
	Tick  float64 `json:"tick_ms"`
	Plans []struct {
		OveruseCost      float64 `json:"beyond_costs"`
		Burst            float64 `json:"burst"`
		CeilingBurst     float64 `json:"hard_burst"`
		CeilingRate      float64 `json:"hard_rate"`
		MaxInFlight      int     `json:"open"`
		Price            float64 `json:"price"`
		Rate             float64 `json:"quota_rate"`
		CeilingTolerance float64 `json:"tolerance"`
	} `json:"tiers_of_service"`
	Weights string `json:"weights"`
	Zone    int    `json:"zone"`
}

// Names of effects and groups in the settings, and names of load report fields in the settings
// with their names in choice.Config.ReportFields.
var (
	effectsByName = map[string]choice.Effect{
		"free": choice.Free, "guarded": choice.Guarded, "single_shot": choice.SingleShot,
	}
	groupsByName = map[string]choice.Group{
		"": choice.GroupAll, "all": choice.GroupAll, "zone": choice.GroupZone, "cell": choice.GroupCell,
	}
	loadFieldNames = map[string]string{
		"rif": "inflight", "lat_ms": "latency_ms", "q": "queue",
		"busy": "util", "rate": "qps", "fail_rate": "eps",
	}
)

// ParseConfig converts an instance's settings from JSON to a Config. mustSubscribe reports
// whether discovery sends changes of the backend list only to subscribers.
func ParseConfig(data []byte) (cfg choice.Config, mustSubscribe bool, err error) {
	var s settings
	if err := json.Unmarshal(data, &s); err != nil {
		return cfg, false, fmt.Errorf("settings: %w", err)
	}
	cfg = choice.Config{
		Gateways: s.Gateways, Self: s.Self, Zone: s.Zone, Tick: fromMillis(s.Tick),
		MeterPeriod: fromMillis(s.Specifics.MeterPeriod), MaxUnits: s.Specifics.MaxUnits,
		MaxAttempts: s.Bounds.MaxAttempts, Hedging: s.Bounds.Hedging, Probing: s.Bounds.Probing,
		Cancelling:          s.Bounds.Cancelling,
		MaxRetryAfter:       fromMillis(s.Bounds.MaxRetryAfter),
		RetryAfterSupported: s.Bounds.RetryAfterSupported,
		WeightsTrusted:      s.Weights == "nominal" || s.Weights == "rough",
		InitialCapacity:     s.Invariants.InitialCapacity,
		WarmUpPeriod:        fromMillis(s.Invariants.WarmUpPeriod),
		ColdOverloadFactor:  s.Invariants.ColdOverloadFactor,
		ColdOverloadPeriod:  fromMillis(s.Invariants.ColdOverloadPeriod),
		DrainGrace:          fromMillis(s.Invariants.DrainGrace),
		CrossZoneCost:       s.Prices.CrossZoneCost,
		HandshakeCost:       s.Prices.HandshakeCost,
		ConnIdleTimeout:     fromMillis(s.Bounds.ConnIdleTimeout),
		ConnectTimeout:      fromMillis(s.Bounds.ConnectTimeout),
	}
	for _, field := range s.Report.Fields {
		if name, ok := loadFieldNames[field]; ok {
			field = name
		}
		cfg.ReportFields = append(cfg.ReportFields, field)
	}
	for i, c := range s.Classes {
		effect, ok := effectsByName[c.Effect]
		if !ok {
			return cfg, false, fmt.Errorf("settings: class %d: effect %q is unknown", i, c.Effect)
		}
		group, ok := groupsByName[c.Group]
		if !ok {
			return cfg, false, fmt.Errorf("settings: class %d: group %q is unknown", i, c.Group)
		}
		cfg.Classes = append(cfg.Classes, choice.Class{
			Aim: fromMillis(c.Aim), Deadline: fromMillis(c.Deadline), Worth: c.Worth, LateWorth: c.LateWorth,
			Effect: effect, Group: group, DedupWindow: fromMillis(c.DedupWindow),
		})
	}
	for _, p := range s.Plans {
		cfg.Plans = append(cfg.Plans, choice.Plan{
			Rate: p.Rate, Burst: p.Burst, MaxInFlight: p.MaxInFlight, Price: p.Price, OveruseCost: p.OveruseCost,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst, CeilingTolerance: p.CeilingTolerance,
		})
	}
	return cfg, s.Discovery == "ask", nil
}
