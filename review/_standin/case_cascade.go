package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { scenarios["cascade"] = cascade }

// modelRoute is a route with three models that the system chooses from.
func modelRoute(name, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": "records.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": "drafting-models",
		"timeoutMs": 15000, "goalMs": 1000, "gapGoalMs": 1000, "priority": 0, "maxAttempts": 3, "public": false, "sticky": true,
		"canResume": false, "sizes": []string{"small", "medium", "large"},
	}
}

func modelService() map[string]any {
	models := []any{}
	for name, cost := range map[string]float64{"small": 0.024, "medium": 0.18, "large": 0.36} {
		models = append(models, map[string]any{"name": name, "cost": cost})
	}
	return map[string]any{
		"name": "drafting-models", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0,
		"engine": map[string]any{"slots": 64, "kvCapacity": 499052, "kvTokenBytes": 163840, "models": models},
	}
}

// streamEvents answers with a complete stream, and stops when its client leaves.
func streamEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for id := 1; id <= 12; id++ {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		if control.Flush() != nil {
			return
		}
	}
}

// cascade sends requests of a route that may not be repeated to models that have a low
// opinion of their answers; without trouble, the opinion is high.
func cascade(w *world) (bool, string, error) {
	confidence := map[string]int{"small": 15, "medium": 60, "large": 90}
	if !w.trouble {
		confidence["small"] = 95
	}
	var servers []*backend
	for n := range 6 {
		b := newBackend(w.store, w.rec, fmt.Sprintf("i-model%d", n+1), "drafting-models", "v1", zones[n%3])
		b.slots, b.queue = 64, 134
		b.handle = func(b *backend, w http.ResponseWriter, r *http.Request, _ []byte) {
			w.Header().Set("X-Medlarslip-Confidence", strconv.Itoa(confidence[r.Header.Get("X-Medlarslip-Model")]))
			if strings.HasPrefix(r.URL.Path, "/notes/") {
				streamEvents(w, r)
				return
			}
			b.answer(w, r, http.StatusOK)
		}
		servers = append(servers, b)
	}
	// A stream that may not be resumed counts as non_idempotent.
	routes := []any{modelRoute("notes", "streaming"), modelRoute("certificates", "non_idempotent")}
	if err := w.begin(3, 284, manifest(1, routes, []any{modelService()}), servers...); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	time.AfterFunc(20*time.Second, func() { close(stop) })
	paths := []string{"/notes/new", "/certificates/new"}
	next := 0
	w.clients.sendAtRate(stop, 10, func() *request {
		next++
		return &request{
			method: http.MethodPost, path: paths[next%len(paths)], body: []byte("leak test notes"), deadline: 15 * time.Second,
			header: map[string]string{
				"X-Medlarslip-Model": "*", "X-Medlarslip-Token-Usage": "800,40", "X-Medlarslip-Prompt-Prefix": "5c1e07a2:200,91bd3f06:600",
			},
		}
	})
	w.clients.wg.Wait()
	runs, answers := w.rec.snapshot()
	count, path := map[string]int{}, map[string]string{}
	for _, run := range runs {
		count[run.id]++
		path[run.id] = run.path
	}
	twice, byPath := 0, map[string]int{}
	for id, n := range count {
		if n > 1 {
			twice++
			byPath[path[id]]++
		}
	}
	good := 0
	for _, a := range answers {
		if a.status == http.StatusOK && a.whole {
			good++
		}
	}
	if good == 0 {
		return false, "", fmt.Errorf("no request was answered")
	}
	seen := fmt.Sprintf("TWICE: of %d requests that may run once at most, %d ran more than once %v; %d were answered whole", len(count), twice, byPath, good)
	return twice > 0, seen, nil
}
