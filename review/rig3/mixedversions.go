package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// followTime is longer than it takes the nodes to read the entries of servers.
	followTime = 3 * time.Second
	// crashDelay is the time from the first stream to the crash of a server.
	crashDelay = 3500 * time.Millisecond
	// mostMixed is the number of streams of two versions that the rule allows.
	mostMixed = 2
)

// runMixedVersions has another writer write entries without a version under the ids of servers of two software
// versions. Then a server crashes under its streams, with and without these entries.
func runMixedVersions(o options, r *record) (bool, error) {
	d, err := newDeployment(o, r)
	if err != nil {
		return false, err
	}
	defer d.close()
	routes := []route{{Name: "r-list", Host: host, PathPrefix: "/lohu930/", Kind: "streaming", TimeoutMs: 15000, TargetMs: 600, Service: "huvo11a", MaxAttempts: 2, Sticky: true, Resume: true, GapTargetMs: 400}}
	d.publish(routes, []string{"huvo11a"}, map[string][]string{callerTeam: {callerKey}})
	zones := []string{"at-east-graz", "at-west-ibk", "de-south-muc"}
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		if err := d.addServer(newModelServer(fmt.Sprintf("i-%d", i), zones[i%len(zones)], version)); err != nil {
			return false, err
		}
	}
	if err := d.addNodes(zones...); err != nil {
		return false, err
	}
	time.Sleep(touchTime)
	return playMixedVersions(d, o), nil
}

func playMixedVersions(d *deployment, o options) bool {
	if o.trouble {
		for _, s := range d.servers {
			s.copyEntries("version")
		}
	}
	time.Sleep(followTime)
	var clients sync.WaitGroup
	streams := make([]*stream, streamCount)
	for i := range streams {
		streams[i] = &stream{name: fmt.Sprintf("s%d", i), versions: make(map[string]bool)}
		n := d.nodes[i%len(d.nodes)]
		clients.Go(func() { streams[i].play(d.record, n, n) })
		time.Sleep(openTime / streamCount)
	}
	time.Sleep(crashDelay - openTime)
	busiest := slices.MaxFunc(d.servers, func(a, b *server) int { return int(a.running.Load() - b.running.Load()) })
	d.record.printf("server %s crashes under %d streams", busiest.id, busiest.running.Load())
	busiest.stop()
	clients.Wait()
	mixed, complete := 0, 0
	for _, s := range streams {
		if s.complete {
			complete++
		}
		if len(s.versions) > 1 {
			mixed++
			d.record.printf("%s has events of the versions %v", s.name, s.versions)
		}
	}
	d.record.report("%d streams, %d complete, %d with events of two software versions", len(streams), complete, mixed)
	return mixed > mostMixed
}
