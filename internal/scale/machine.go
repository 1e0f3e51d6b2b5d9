package scale

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// Machine describes the machine of a measurement.
type Machine struct {
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	Go       string `json:"go"`
}

func currentMachine() Machine {
	total, _ := procMemoryField("/proc/meminfo", "MemTotal:") // 0 if not available
	return Machine{Cores: runtime.NumCPU(), MemoryMB: int(total >> 20), Go: runtime.Version()}
}

// procMemoryField returns a field in kB from a file of the proc file system, in bytes.
func procMemoryField(path, name string) (int64, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) >= 2 && fields[0] == name {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("%s: no field %s", path, name)
}

// residentMemory returns the resident set size of a process in bytes.
func residentMemory(pid int) (int64, error) {
	return procMemoryField(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
}

// clockTicksPerSecond is the unit (USER_HZ) of the processor times in /proc/PID/stat.
const clockTicksPerSecond = 100

// processCPUTime returns the processor time that a process has used on all cores.
func processCPUTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the program's name in parentheses, which may contain spaces.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, fmt.Errorf("process %d: its /proc stat line has too few fields", pid)
	}
	sum := int64(0)
	for _, field := range []string{fields[user], fields[system]} {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += ticks
	}
	return time.Duration(sum) * time.Second / clockTicksPerSecond, nil
}
