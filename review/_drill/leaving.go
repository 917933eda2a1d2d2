package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leavingClients is the number of clients; each sends its next request when it has its answer.
	leavingClients = 36
	leavingServers = 3
	leavingSlots   = 2
	leavingWork    = 1200 * time.Millisecond
	// rounds is the number of servers that are replaced, one each roundTime.
	rounds    = 3
	roundTime = 14 * time.Second
	// servesOn is how long a server goes on after it has reported that it drains.
	servesOn = 11 * time.Second
	// A server begins to lose answers lossDelay after it has reported that it drains, for lossTime; of
	// lossOf answers it loses two.
	lossDelay = 2 * time.Second
	lossTime  = 4 * time.Second
	lossOf    = 5
)

// playLeaving replaces servers one after the other under load. With trouble the server that leaves loses
// the answers of some of its runs, by a reset of their channels.
func playLeaving(log *record, trouble bool) (int, error) {
	store, address, err := startStore()
	if err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	draining := map[string]time.Time{}
	late, arrivals := 0, 0
	arrived := func(s *server, id string) {
		now := time.Now()
		mu.Lock()
		defer mu.Unlock()
		at, leaves := draining[s.id]
		if !leaves {
			return
		}
		arrivals++
		if after := now.Sub(at); after > drainTime {
			late++
			log.say("request %s reaches %s %d ms after the store accepted that it drains; drainMs is %d", id, s.id, after.Milliseconds(), drainTime.Milliseconds())
		}
	}
	var losing sync.Map // ID of a server to *atomic.Int64
	loses := func(s *server, _ string) bool {
		runs, found := losing.Load(s.id)
		if !found {
			return false
		}
		n := runs.(*atomic.Int64).Add(1)
		return n%lossOf == 2 || n%lossOf == 4
	}
	number := 0
	add := func() (*server, error) {
		number++
		s, err := startServer(fmt.Sprintf("i-llm-%d", number), "planner-llm", leavingSlots, 134, leavingWork, true, log)
		if err != nil {
			return nil, err
		}
		s.arrived, s.losesAnswer = arrived, loses
		register(store, s)
		return s, nil
	}
	var servers []*server
	for range leavingServers {
		s, err := add()
		if err != nil {
			return cannotRun, err
		}
		servers = append(servers, s)
	}
	putConfiguration(store)
	all, err := startInstances(machinesNeeded, address, log)
	if err != nil {
		return cannotRun, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var answered, failed atomic.Int64
	for k := range leavingClients {
		clients.Go(func() { leavingClient(k, all[k%len(all)], log, stop, &answered, &failed) })
	}
	time.Sleep(roundTime / 2)
	for round := range rounds {
		if _, err := add(); err != nil {
			return cannotRun, err
		}
		time.Sleep(time.Second)
		s := servers[round]
		s.drain(store)
		mu.Lock()
		draining[s.id] = time.Now()
		mu.Unlock()
		log.say("%s drains from now on, accepted by the store", s.id)
		if trouble {
			time.AfterFunc(lossDelay, func() { losing.Store(s.id, &atomic.Int64{}) })
			time.AfterFunc(lossDelay+lossTime, func() { losing.Delete(s.id) })
		}
		time.AfterFunc(servesOn, func() { s.exit(store) })
		time.Sleep(roundTime - time.Second)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	log.say("%d answered whole, %d not; %d requests reached a server after it had reported that it drains, %d of them too late", answered.Load(), failed.Load(), arrivals, late)
	switch {
	case late > 0:
		return broken, nil
	case answered.Load() == 0:
		return cannotRun, fmt.Errorf("nothing was served")
	}
	return held, nil
}

// leavingClient sends requests on kept channels, one at a time.
func leavingClient(k int, i *instance, log *record, stop <-chan struct{}, answered, failed *atomic.Int64) {
	var c *channel
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close()
			}
			return
		default:
		}
		var err error
		if c == nil {
			if c, err = connect(i.front(), ""); err != nil {
				c = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("c%d-%d", k, n)
		log.add("sent", id, i.name)
		got, err := c.do(&request{
			method: http.MethodPost, path: modelPath + id, id: id, deadline: 25 * time.Second,
			headers: "X-Medlarslip-Model: daka510000\r\nX-Medlarslip-Token-Usage: 628,60\r\nX-Medlarslip-Prompt-Prefix: 5c1e07a2:119,91bd3f06:79," + fmt.Sprintf("%08x:430", k<<16|n) + "\r\n",
		})
		log.add("answer", id, got.String())
		if err == nil && got.status == http.StatusOK && got.whole {
			answered.Add(1)
		} else {
			failed.Add(1)
			time.Sleep(200 * time.Millisecond)
		}
		if err != nil || got.header.Get("Connection") == "close" || !got.whole {
			_ = c.Close()
			c = nil
		}
	}
}
