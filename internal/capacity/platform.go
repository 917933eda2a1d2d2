// Package capacity measures the cost of coordinating a fleet. It runs many nodes
// in one process over loopback, and reports traffic, CPU, memory and convergence
// time by fleet size, for this project's design and for a naive baseline.
package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/platform"
)

// countingListener counts the bytes sent and received on all its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &countingConn{Conn: conn, counter: c}, err
}

type countingConn struct {
	net.Conn
	counter *countingListener
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// standins are the backend servers and the instance list of a run. All backend
// servers share one listener and the list has another, so that the traffic of
// each is counted separately.
type standins struct {
	engines  *countingListener
	list     *countingListener
	requests atomic.Int64
	servers  []*fasthttp.Server
	listBody []byte
	metrics  [][]byte
}

func newStandins() (*standins, error) {
	s := &standins{metrics: metricsBodies()}
	var err error
	if s.engines, err = s.serve(s.answerEngine); err != nil {
		return nil, err
	}
	s.list, err = s.serve(s.answerList)
	return s, err
}

func (s *standins) serve(handler fasthttp.RequestHandler) (*countingListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	counted := &countingListener{Listener: listener}
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(counted) }()
	return counted, nil
}

// answerEngine serves the metrics of all engines. It returns a random load at
// each read, so that most reads are changes which nodes must propagate.
func (s *standins) answerEngine(ctx *fasthttp.RequestCtx) {
	s.requests.Add(1)
	ctx.Response.Header.Set(fasthttp.HeaderContentEncoding, "gzip")
	ctx.SetBody(s.metrics[rand.IntN(len(s.metrics))])
}

const (
	// metricsLoads is the number of different loads that the engines report.
	metricsLoads = 32
	// metricsLines is the number of other lines in the metrics of an engine.
	metricsLines = 400
)

// metricsBodies returns one compressed metrics body for each load.
func metricsBodies() [][]byte {
	bodies := make([][]byte, metricsLoads)
	for load := range bodies {
		var text strings.Builder
		fmt.Fprintf(&text, "vllm:num_requests_running %d\nvllm:num_requests_waiting %d\n", load, load/4)
		fmt.Fprintf(&text, "vllm:kv_cache_usage_perc 0.5\nprocess_start_time_seconds 1780000000\n")
		for line := range metricsLines {
			fmt.Fprintf(&text, "vllm:step_seconds_bucket{le=\"%d\"} %d\n", line, rand.IntN(1<<20))
		}
		bodies[load] = fasthttp.AppendGzipBytes(nil, []byte(text.String()))
	}
	return bodies
}

func (s *standins) answerList(ctx *fasthttp.RequestCtx) { ctx.SetBody(s.listBody) }

// setList sets the instance list to the given entry instances and a number of
// backend servers.
func (s *standins) setList(entries []platform.Instance, servers int) error {
	rows := append([]platform.Instance(nil), entries...)
	for i := range servers {
		rows = append(rows, platform.Instance{
			ID: fmt.Sprintf("engine-%03d", i), Address: s.engines.Addr().String(), Role: platform.RoleEngine,
			Serves: []string{fmt.Sprintf("model-%d", i%versions)}, FailureDomain: domain(i),
			State: platform.InstanceLive, Incarnation: "1",
		})
	}
	var err error
	s.listBody, err = json.Marshal(platform.InstanceList{Instances: rows})
	return err
}

const (
	versions = 6
	domains  = 5
)

func domain(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

func (s *standins) close() {
	for _, server := range s.servers {
		_ = server.Shutdown()
	}
}
