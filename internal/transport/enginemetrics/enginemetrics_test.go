package enginemetrics

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/transport/httpconn"
)

// serve serves a handler until the test ends and returns its address.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		must.NoError(t, server.Shutdown())
		must.NoError(t, <-done)
	})
	return listener.Addr().String()
}

func TestParse(t *testing.T) {
	cases := []struct {
		name, text string
		want       backends.Load
	}{
		{
			"engine of one model",
			"# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running{model_name=\"a\"} 3\n" +
				"vllm:num_requests_waiting 2.0\nvllm:kv_cache_usage_perc 0.5\nprocess_start_time_seconds 1.78e+09\n",
			backends.Load{Running: 3, Waiting: 2, CacheUse: 0.5, Started: 1_780_000_000%65535 + 1},
		},
		{
			"two models, older name, more metrics",
			"vllm:num_requests_running{model_name=\"a\"} 3\nvllm:num_requests_running{model_name=\"b\"} 4\n" +
				"vllm:gpu_cache_usage_perc{model_name=\"a\"} 0.2\nvllm:gpu_cache_usage_perc{model_name=\"b\"} 0.7\nother 9\n",
			backends.Load{Running: 7, CacheUse: 0.7},
		},
		{"values that are no counts", "vllm:num_requests_running NaN\nvllm:num_requests_waiting -3\nvllm:kv_cache_usage_perc 7\n", backends.Load{CacheUse: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := parse([]byte(c.text))
			must.NoError(t, err)
			must.Eq(t, c.want, got)
		})
	}
}

func TestParseRejectsMissingLoad(t *testing.T) {
	for _, text := range []string{"", "<html>", "other 1\n", "vllm:num_requests_running x\n"} {
		_, err := parse([]byte(text))
		must.ErrorIs(t, err, ErrMalformed, must.Sprint(text))
	}
}

func TestLoadReportsRestart(t *testing.T) {
	engine := engineserver.New(engineserver.Config{MaxRunning: 4})
	address := serve(t, engine.Handle)
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	t.Cleanup(pool.Close)
	client := New(pool)
	before, err := client.Load(t.Context(), address)
	must.NoError(t, err)
	must.NoError(t, client.Healthy(t.Context(), address))
	engine.RestartAt(time.Now().Add(time.Hour))
	after, err := client.Load(t.Context(), address)
	must.NoError(t, err)
	must.NotEq(t, before.Started, after.Started)
}

func TestCompressedMetricsAreRead(t *testing.T) {
	engine := engineserver.New(engineserver.Config{MaxRunning: 4})
	address := serve(t, fasthttp.CompressHandler(engine.Handle))
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	t.Cleanup(pool.Close)
	load, err := New(pool).Load(t.Context(), address)
	must.NoError(t, err)
	must.Positive(t, load.Started)
}

func TestLoadErrors(t *testing.T) {
	cases := []struct {
		name    string
		handler fasthttp.RequestHandler
		want    error
	}{
		{"answers 503", func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusServiceUnavailable) }, ErrUnreachable},
		{"answers garbage", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{}") }, ErrMalformed},
		{"answers nothing", func(*fasthttp.RequestCtx) {}, ErrMalformed},
	}
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	t.Cleanup(pool.Close)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := New(pool).Load(t.Context(), serve(t, c.handler))
			must.ErrorIs(t, err, c.want)
		})
	}
	_, err := New(pool).Load(t.Context(), "127.0.0.1:1")
	must.ErrorIs(t, err, ErrUnreachable)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("vllm:num_requests_running 1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		load, err := parse(text)
		if err != nil {
			must.ErrorIs(t, err, ErrMalformed)
		}
		must.True(t, load.Running >= 0 && load.CacheUse >= 0 && load.CacheUse <= 1)
	})
}
