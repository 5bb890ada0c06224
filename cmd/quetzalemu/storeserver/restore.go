package storeserver

import (
	"math/rand/v2"
	"time"
)

// Restore replaces the contents by a copy of a given age. What the router has written since is lost, and
// offsets are given out again. What operators and servers have written since is written again, in any order.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.topics
	copiedAt := time.Now().Add(-age)
	kept := 0
	for kept < len(s.history) && s.history[kept].at.Before(copiedAt) {
		kept++
	}
	s.history = s.history[:kept]
	s.topics = nil
	for _, a := range s.history {
		s.topicLocked(a.topic).append(a.record)
	}
	s.restores++
	lost := s.lostLocked(before)
	for _, i := range rand.Perm(len(lost)) {
		s.appendLocked(lost[i].topic, lost[i].record)
	}
	s.notifyLocked()
}

// lostLocked returns what operators and servers have to write again so that the latest records are as before.
func (s *Store) lostLocked(before map[string]*topic) []appended {
	var lost []appended
	for _, name := range []string{operatorTopic, serverTopic} {
		restored := s.topicLocked(name)
		previous := before[name]
		if previous == nil {
			continue
		}
		for key, latest := range previous.latest {
			if restored.latest[key].value != latest.value {
				lost = append(lost, appended{topic: name, record: record{key, latest.value}})
			}
		}
		for key := range restored.latest {
			if _, present := previous.latest[key]; !present {
				lost = append(lost, appended{topic: name, record: record{key: key}})
			}
		}
	}
	return lost
}
