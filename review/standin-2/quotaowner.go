package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// The quota of the tenant, in requests a second and in requests, and the bounds of the rule.
const (
	quotaRate, quotaBurst = 60.0, 30.0
	quotaWindow           = 5 * time.Second
	quotaOver, quotaSlack = 0.1, 20.0
	// usualRate is what the tenant usually sends: the quota is 1.6 times that (quota_x).
	usualRate = quotaRate / 1.6
	hotTimes  = 7.5
	hotTime   = 6500 * time.Millisecond
	// ownerCutTime is how long the owner's machine is cut off from the store.
	ownerCutTime = 4 * time.Second
)

// quotaOwner kills the process that grants the tokens of a tenant's quota while the tenant
// sends many times its usual, and while that machine is cut off from the store.
func quotaOwner(record string, trouble bool) int {
	services := []string{"map-store"}
	w, err := newWorld(record, []string{"map-store", "map-store", "map-store", "map-store", "map-store", "map-store"}, "dk-east-a")
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.store.tenants = []map[string]any{{"name": "docks-1", "apiKeys": []string{tenantKey}, "priority": 1, "ratePerS": quotaRate, "burst": quotaBurst}}
	w.store.setConfig(4, services, []route{{name: "tile", prefix: "/tile/", service: "map-store", kind: "idempotent", timeoutS: 2, aimS: 0.8, attempts: 2}})
	for i, n := range w.nodes {
		if _, err := n.startUpstream(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), answerOK); err != nil {
			return cannotRun(err)
		}
		if err := n.start(); err != nil {
			return cannotRun(err)
		}
	}
	if err := w.awaitReady("/tile/1"); err != nil {
		return cannotRun(err)
	}
	for _, n := range w.nodes {
		if err := n.writeSettings("dk-east-a", n.storeAddress, false); err != nil { // no longer the first start
			return cannotRun(err)
		}
	}
	var hot atomic.Bool
	var wait sync.WaitGroup
	var mu sync.Mutex
	sent, statuses := make(map[string]time.Time), make(map[int]int)
	stop := make(chan struct{})
	const clients = 8
	for _, n := range w.nodes {
		for range clients {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for {
					pause := float64(len(w.nodes)*clients) / usualRate * float64(time.Second)
					if hot.Load() {
						pause /= hotTimes
					}
					select {
					case <-time.After(time.Duration(pause * (0.5 + rand.Float64()))):
					case <-stop:
						return
					}
					a := w.send(n, request{path: "/tile/1", deadline: 2 * time.Second})
					mu.Lock()
					sent[a.id] = a.sent
					statuses[a.status]++
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(5 * time.Second)
	for range 3 {
		owner := w.ownerOf("docks-1")
		if owner == nil {
			return cannotRun(fmt.Errorf("no node names the owner of the quota"))
		}
		hot.Store(true)
		w.note("the tenant sends %.1f times its usual for %v; %s owns its quota", hotTimes, hotTime, owner.name)
		began := time.Now()
		time.Sleep(time.Second)
		if trouble {
			w.store.setCut(owner.index, true)
			w.note("%s is cut off from the store, for %v", owner.name, ownerCutTime)
			time.AfterFunc(ownerCutTime, func() { w.store.setCut(owner.index, false) })
			time.Sleep(500 * time.Millisecond)
			owner.kill()
			w.note("the process of %s is killed", owner.name)
			time.Sleep(300 * time.Millisecond)
			if err := owner.start(); err != nil {
				return cannotRun(err)
			}
			w.note("it is started again")
		}
		time.Sleep(time.Until(began.Add(hotTime)))
		hot.Store(false)
		w.note("the tenant sends its usual")
		time.Sleep(10 * time.Second)
	}
	close(stop)
	wait.Wait()
	most, at := w.worstWindow(sent)
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	w.note("answers by status: %v", statuses)
	w.note("most requests that were sent and ran in %v: %d, from %.3f s on; allowed: %.0f", quotaWindow, most, w.since(at), bound)
	fmt.Printf("most in a window: %d, allowed: %.0f\n", most, bound)
	if float64(most) > bound {
		return broken
	}
	return held
}

// worstWindow returns the most requests that were both sent and run within quotaWindow.
func (w *world) worstWindow(sent map[string]time.Time) (int, time.Time) {
	type pair struct{ sent, ran time.Time }
	var pairs []pair
	for _, r := range w.runsSince(w.began) {
		if at, ok := sent[r.id]; ok {
			pairs = append(pairs, pair{at, r.at})
		}
	}
	sort.Slice(pairs, func(i, j int) bool { return pairs[i].sent.Before(pairs[j].sent) })
	most, from := 0, time.Time{}
	for i := range pairs {
		count, end := 0, pairs[i].sent.Add(quotaWindow)
		for j := i; j < len(pairs) && pairs[j].sent.Before(end); j++ {
			if !pairs[j].ran.After(end) {
				count++
			}
		}
		if count > most {
			most, from = count, pairs[i].sent
		}
	}
	return most, from
}

// ownerOf returns the node that owns a tenant's quota, by the state dump of a node.
func (w *world) ownerOf(tenant string) *node {
	for _, n := range w.nodes {
		client := http.Client{Timeout: time.Second}
		response, err := client.Get(fmt.Sprintf("http://%s:9464/state", n.ip))
		if err != nil {
			continue
		}
		var dump any
		err = json.NewDecoder(response.Body).Decode(&dump)
		_ = response.Body.Close()
		if err != nil {
			continue
		}
		name, _ := find(find(dump, tenant), "owner").(string)
		for _, owner := range w.nodes {
			if name == fmt.Sprintf("%s:%d", owner.ip, portInner) {
				return owner
			}
		}
	}
	return nil
}

// find returns the value of the first member with a name, at any depth.
func find(value any, name string) any {
	members, ok := value.(map[string]any)
	if !ok {
		return nil
	}
	if found, ok := members[name]; ok {
		return found
	}
	for _, member := range members {
		if found := find(member, name); found != nil {
			return found
		}
	}
	return nil
}
