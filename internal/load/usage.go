package load

import (
	"context"
	"net/http"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
)

// The metrics of a node's process that a run reads.
const (
	metricCPU         = "process_cpu_seconds_total"
	metricAllocations = "go_memstats_mallocs_total"
)

// usage is what nodes have used since their start, summed over them.
type usage struct {
	cpuSeconds  float64
	allocations float64
}

func (u usage) minus(earlier usage) usage {
	return usage{cpuSeconds: u.cpuSeconds - earlier.cpuSeconds, allocations: u.allocations - earlier.allocations}
}

// readUsage reads the metrics of all nodes.
func readUsage(ctx context.Context, nodes []string) (usage, error) {
	var total usage
	for _, node := range nodes {
		used, err := readNodeUsage(ctx, node)
		if err != nil {
			return usage{}, eris.Wrapf(err, "read metrics of node %s", node)
		}
		total.cpuSeconds += used.cpuSeconds
		total.allocations += used.allocations
	}
	return total, nil
}

func readNodeUsage(ctx context.Context, node string) (usage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, node+"/metrics", nil)
	if err != nil {
		return usage{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return usage{}, err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return usage{}, err
	}
	var used usage
	for _, metric := range families[metricCPU].GetMetric() {
		used.cpuSeconds += metric.GetCounter().GetValue()
	}
	for _, metric := range families[metricAllocations].GetMetric() {
		used.allocations += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return used, nil
}
