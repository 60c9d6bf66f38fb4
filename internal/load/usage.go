package load

import (
	"context"
	"net/http"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"dalehook/internal/client"
)

// The process metrics that are read from each node.
const (
	metricCPU         = "process_cpu_seconds_total"
	metricAllocations = "go_memstats_mallocs_total"
)

// processUsage is the cumulative resource usage of node processes.
type processUsage struct {
	cpuSeconds  float64
	allocations float64
}

func (u processUsage) sub(earlier processUsage) processUsage {
	return processUsage{cpuSeconds: u.cpuSeconds - earlier.cpuSeconds, allocations: u.allocations - earlier.allocations}
}

// readUsage returns the total usage of all nodes.
func readUsage(ctx context.Context, nodes []string) (processUsage, error) {
	reader := client.NewHTTPClient()
	defer reader.CloseIdleConnections()
	var total processUsage
	for _, node := range nodes {
		used, err := readNodeUsage(ctx, reader, node)
		if err != nil {
			return processUsage{}, eris.Wrapf(err, "read metrics of node %s", node)
		}
		total.cpuSeconds += used.cpuSeconds
		total.allocations += used.allocations
	}
	return total, nil
}

func readNodeUsage(ctx context.Context, reader *http.Client, node string) (processUsage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, node+"/metrics", nil)
	if err != nil {
		return processUsage{}, err
	}
	response, err := reader.Do(request)
	if err != nil {
		return processUsage{}, err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return processUsage{}, err
	}
	var used processUsage
	for _, metric := range families[metricCPU].GetMetric() {
		used.cpuSeconds += metric.GetCounter().GetValue()
	}
	for _, metric := range families[metricAllocations].GetMetric() {
		used.allocations += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return used, nil
}
