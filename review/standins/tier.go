package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// startTier starts discovery for the members and n ingresses. The caller ends the tier in any
// case.
func startTier(n int, members []member, dir string, s spec) (tier []*ingress, err error) {
	disc, err := startDiscovery(members)
	if err != nil {
		return nil, err
	}
	s.ingresses, s.discovery, s.known = n, disc.addr, &disc.current
	for i := range n {
		s.index = i
		p, err := startIngress(s, dir)
		tier = append(tier, p)
		if err != nil {
			return tier, err
		}
	}
	return tier, nil
}

func endTier(tier []*ingress) {
	for _, p := range tier {
		p.end()
	}
}

// work is how long a backend works on a request of a class.
func work(class string) time.Duration {
	return map[string]time.Duration{"view": 90 * time.Millisecond, "save-draft": 180 * time.Millisecond,
		"turn-in": 290 * time.Millisecond}[class]
}

// residentMB returns the memory that a process holds.
func residentMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmRSS:") {
			var kb float64
			fmt.Sscan(strings.Fields(line)[1], &kb)
			return kb / 1024
		}
	}
	return 0
}
