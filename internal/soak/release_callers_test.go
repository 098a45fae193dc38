package soak_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// maxReleaseTakeUps is how often a caller takes a stream up that is broken off during releases.
	maxReleaseTakeUps = 5
	// minReleaseTakeUpTime is the time to the caller's deadline in which an undisturbed site begins any stream.
	minReleaseTakeUpTime = time.Second
	// maxTakeUpPause is the longest time between the end of one attempt and the next.
	maxTakeUpPause = 200 * time.Millisecond
)

// nextStream returns a request for a stream of any service. Callers close some connections in the middle, as if these had broken.
func (c *caller) nextStream(rollouts []*rollout) *request {
	c.sentCount++
	r := &request{id: fmt.Sprintf("c%d-%d", c.id, c.sentCount), path: pick(c.random, rollouts).path, entry: pick(c.random, c.site.entries), events: releaseEvents}
	if c.random.IntN(10) == 0 {
		r.path = briefPath
	}
	r.body = "body of " + r.id
	r.key, r.workspace = c.operator.key(c.random)
	if c.random.IntN(2) == 0 {
		r.hangUp = c.hangUpTime()
	}
	return r
}

// hangUpTime returns a time after which a stream has begun and not ended, if nothing is disturbed.
func (c *caller) hangUpTime() time.Duration {
	return 4*releaseEventTime + time.Duration(c.random.Int64N(int64(releaseEventTime*(releaseEvents-5))))
}

// takeUpElsewhere takes a stream up that broke off, at entries of other availability zones, until it ends or the caller's deadline is near.
func (c *caller) takeUpElsewhere(first *request) {
	broken, last := first, 0
	for i := range maxReleaseTakeUps {
		if broken.status == http.StatusOK {
			last += eventsIn(broken.received)
		}
		if !isRedraft(first.path) || broken.complete && broken.status == http.StatusOK || last == 0 || last >= releaseEvents {
			return
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxTakeUpPause))))
		left := time.Until(first.deadline)
		if left < minReleaseTakeUpTime {
			return
		}
		next := &request{
			id: fmt.Sprintf("%s-%d", first.id, i+1), path: first.path, body: first.body, key: first.key, workspace: first.workspace,
			entry: pick(c.random, c.site.entries), began: first, lastEvent: last, events: first.events,
		}
		for next.entry.zone == broken.entry.zone {
			next.entry = pick(c.random, c.site.entries)
		}
		if c.random.IntN(2) == 0 {
			next.hangUp = c.hangUpTime()
		}
		c.send(next, left)
		broken = next
	}
}

// startStreamCallers starts callers that send streams until the channel is closed, and returns the group to wait for.
func (s *site) startStreamCallers(o *operator, rollouts []*rollout, seed uint64, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for range releaseCallerCount {
		c := newCaller(s, o, seed, len(s.callers))
		s.callers = append(s.callers, c)
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := c.nextStream(rollouts)
				c.send(r, time.Duration(4000+c.random.IntN(3000))*time.Millisecond)
				c.takeUpElsewhere(r)
				time.Sleep(time.Duration(c.random.Int64N(int64(maxCallerPause))))
			}
		})
	}
	return &wg
}

// expectStreams sends a stream to each service through each entry; each must succeed at the first attempt.
func (s *site) expectStreams(o *operator, rollouts []*rollout) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, m := range s.entries {
		c := newCaller(s, o, 0, len(s.callers))
		s.callers = append(s.callers, c)
		wg.Go(func() {
			for _, rel := range rollouts {
				r := c.nextStream(rollouts)
				r.path, r.entry, r.hangUp = rel.path, m, 0
				c.send(r, 5*time.Second)
				if s.undisturbed(r.sent.Add(-settleTime), r.finished, machine) && (r.status != http.StatusOK || !r.complete) {
					s.breach("%s %s through %s failed without any fault: status %d, %v, %.100s", r.id, r.path, m.name, r.status, r.err, r.received)
				}
			}
		})
	}
}
