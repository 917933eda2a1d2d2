// Command medlarslip-platform runs an entry instance on the users' platform. It
// accepts requests from clients and forwards them to backend servers.
package main

import (
	"flag"

	"medlarslip/internal/daemon"
	"medlarslip/platform"
)

func main() {
	metricsPort := flag.Int("metrics-port", 0, "port that serves the metrics; 0 for none")
	answerValue := flag.Float64("answer-value", platform.DefaultAnswerValue,
		"value of a good answer to a request of the highest rank, in runs of the strongest model; it halves with each lower rank")
	daemon.Main(func(path string) (daemon.Program, error) {
		return platform.Load(path, platform.Options{MetricsPort: *metricsPort, AnswerValue: *answerValue})
	})
}
