// Command medlarslip-platform is an entry instance on the users' platform: it
// answers clients and passes their requests on to backend servers.
package main

import (
	"flag"

	"medlarslip/internal/daemon"
	"medlarslip/platform"
)

func main() {
	metricsPort := flag.Int("metrics-port", 0, "port of the metrics; 0 serves none")
	answerValue := flag.Float64("answer-value", platform.DefaultAnswerValue,
		"what a good answer to a request of the highest rank is worth, in runs of the strongest model; half as much with each rank below")
	daemon.Main(func(path string) (daemon.Program, error) {
		return platform.Load(path, platform.Options{MetricsPort: *metricsPort, AnswerValue: *answerValue})
	})
}
