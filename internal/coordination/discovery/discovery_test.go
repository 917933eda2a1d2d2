package discovery

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
	"medlarslip/internal/state/backends"
)

// grace is so long that no test outlasts it.
const grace = time.Hour

func newRegistry(regained *boottime.Instant) (*Registry, *backends.Table) {
	table := backends.NewTable()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Options{
		Table: table, OnVersions: func(string, []string) {}, LapseGrace: grace, Log: logrus.NewEntry(logger),
		RegainedAt: func() boottime.Instant { return *regained },
	}), table
}

func server(id string) backends.Server {
	return backends.Server{ID: id, Serves: []string{"app"}, Version: "v1", Incarnation: id}
}

// TestLapsedEntriesMayComeBack: shortly after an outage a missing entry leaves
// its server for the case that there is no other, until the grace is over.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	regained := boottime.Instant(0)
	r, table := newRegistry(&regained)
	r.Put(server("a"))
	r.Put(server("b"))
	r.Publish()
	must.Eq(t, 2, r.Serving("app", "v1"))
	regained = boottime.Now()
	r.Remove("a")
	r.Publish()
	must.Eq(t, 1, r.Serving("app", "v1"))
	must.True(t, table.Get("a").Snapshot().Server.Unconfirmed)
	r.Put(server("a"))
	r.Publish()
	must.False(t, table.Get("a").Snapshot().Server.Unconfirmed)
	r.Remove("a")
	r.lapsed["a"] = time.Now().Add(-time.Second)
	r.Publish()
	must.Nil(t, table.Get("a"))
}

// TestLeavingServersDoNotComeBack, and neither do others without an outage.
func TestLeavingServersDoNotComeBack(t *testing.T) {
	regained := boottime.Instant(0)
	r, table := newRegistry(&regained)
	leaving := server("a")
	leaving.Leaving = true
	r.Put(leaving)
	r.Put(server("b"))
	r.Remove("b")
	regained = boottime.Now()
	r.Remove("a")
	r.Publish()
	must.Nil(t, table.Get("a"))
	must.Nil(t, table.Get("b"))
}
