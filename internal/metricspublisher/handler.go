// Package metricspublisher serves the metrics of one entry VM in the format of
// expvar. Unlike the global variables of expvar, each of several entry VMs in one
// process has its own metrics.
package metricspublisher

import (
	"encoding/json"
	"expvar"
	"net/http"
	"runtime"
	"syscall"
	"time"
)

// Source returns a set of metrics, which is marshalled as JSON.
type Source func() any

// Publisher serves named sets of metrics.
type Publisher struct {
	sources map[string]Source
}

// New returns a Publisher of the named sources and of the metrics of the process.
func New(sources map[string]Source) *Publisher {
	return &Publisher{sources: sources}
}

// ServeHTTP answers with all metrics as one JSON object.
func (p *Publisher) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var values expvar.Map
	for name, source := range p.sources {
		values.Set(name, expvar.Func(source))
	}
	values.Set("process", expvar.Func(func() any { return readProcessMetrics() }))
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(values.String())) // fails only if the client has disconnected
}

// processMetrics holds the metrics of the operating system's process.
type processMetrics struct {
	CPUSeconds float64 `json:"cpuSeconds"` // user and system time of all threads
	HeapBytes  uint64  `json:"heapBytes"`
	SysBytes   uint64  `json:"sysBytes"`
	Goroutines int     `json:"goroutines"`
	GCCycles   uint32  `json:"gcCycles"`
}

func readProcessMetrics() processMetrics {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return processMetrics{
		CPUSeconds: cpuTime().Seconds(),
		HeapBytes:  memory.HeapAlloc,
		SysBytes:   memory.Sys,
		Goroutines: runtime.NumGoroutine(),
		GCCycles:   memory.NumGC,
	}
}

// cpuTime returns the processor time of the process; 0 when it can't be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Decode reads the metrics that a Publisher served, by source name.
func Decode(data []byte) (metrics map[string]json.RawMessage, err error) {
	err = json.Unmarshal(data, &metrics)
	return metrics, err
}
