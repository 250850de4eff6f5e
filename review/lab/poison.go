package main

import (
	"math/rand/v2"
	"time"

	"github.com/primroseladder/primroseladder/internal/route"
)

const (
	// maxLateRetries is how many retries of a request that crashes backend servers BUDGET allows, counted from contact after it
	// has crashed the third.
	maxLateRetries = 3
	// freeCrashes is the number of crashes after which the count begins.
	freeCrashes = 3
	// crashBudget is the time budget of the request.
	crashBudget = 2 * time.Second
	// crashPath is the path of the request.
	crashPath = pathPrefix + "crash"
	// crasherSeed determines the machines that the request is sent to.
	crasherSeed = 7
	// quietTime is how long the request is sent after the last disruption.
	quietTime = 12 * time.Second
)

// crasher is a consumer whose request crashes the backend servers that run it. The request comes again and again, with the same
// path, caller and body, at a random one of the ready machines, each time with an id of its own.
type crasher struct {
	fleet *fleet
	every time.Duration
	// sentBy holds the machine that each request was sent to.
	sentBy map[string]*machine
}

func (c *crasher) run(done <-chan struct{}) {
	random := rand.New(rand.NewPCG(crasherSeed, crasherSeed))
	for !isClosed(done) {
		began := time.Now()
		for _, n := range random.Perm(len(c.fleet.machines)) {
			m := c.fleet.machines[n]
			if !m.isReady() {
				continue
			}
			sender := newConsumer(c.fleet.record, m.callerAddress())
			c.sentBy[sender.send("POST", crashPath, usualBodyBytes, crashBudget).id] = m
			sender.close()
			break
		}
		time.Sleep(c.every - time.Since(began))
	}
}

// countLate counts the runs of the request later than contact after the third, sent by machines in touch. inTouch holds the
// runs at whose time the machine was in touch.
func (c *crasher) countLate(runs []touchedRun) (late int) {
	r := c.fleet.record
	var third time.Time
	for n, run := range runs {
		switch {
		case n+1 < freeCrashes:
		case n+1 == freeCrashes:
			third = run.at
		case run.at.Sub(third) <= contact:
			r.logf("run %d, of request %s at %s: within Contact of the third", n+1, run.id, run.server)
		case !run.isInTouch:
			r.logf("run %d, of request %s at %s: the machine %s is not in touch", n+1, run.id, run.server, c.sentBy[run.id].name)
		default:
			late++
			r.logf("run %d, of request %s at %s: retry %d, sent by %s in touch, %.1f s after the third crash", n+1, run.id, run.server,
				late, c.sentBy[run.id].name, run.at.Sub(third).Seconds())
		}
	}
	r.summaryf("the request ran %d times; retries later than Contact after the third crash, by machines in touch: %d; BUDGET allows %d",
		len(runs), late, maxLateRetries)
	return late
}

// touchedRun is a run of the request, with the state of the machine that sent it.
type touchedRun struct {
	arrival
	isInTouch bool
}

// playCrasher sends the request while disrupt runs, and reports whether BUDGET was broken.
func playCrasher(f *fleet, every time.Duration, disrupt func()) bool {
	c := &crasher{fleet: f, every: every, sentBy: map[string]*machine{}}
	time.Sleep(contact + time.Second)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		c.run(done)
	}()
	time.Sleep(quietTime)
	disrupt()
	time.Sleep(quietTime)
	close(done)
	<-ended
	var runs []touchedRun
	for _, a := range f.site.ran() {
		if m := c.sentBy[a.id]; a.isCrash && m != nil {
			runs = append(runs, touchedRun{a, m.wasInTouch(a.at)})
		}
	}
	return c.countLate(runs) > maxLateRetries
}

// rollGap is the pause between the start of one machine and the stop of the next.
const rollGap = 6 * time.Second

// playCrasherRoll restarts the machines in turn.
func playCrasherRoll(r *recorder, hasTrouble bool) (bool, error) {
	services := []string{"wuno96b"}
	config := newConfig(7, route.NonIdempotent, crashBudget, services, services)
	f, err := newFleet(r, []int{2, 2, 2, 2}, 100*time.Millisecond, config, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.site.crashPath = crashPath
	return playCrasher(f, 1500*time.Millisecond, func() {
		for _, m := range f.machines {
			if hasTrouble {
				r.logf("machine %s gets SIGTERM", m.name)
				m.planStop()
				if err := m.startByPlatform(); err != nil {
					r.logf("machine %s is not started again: %v", m.name, err)
				}
				r.logf("machine %s is started again", m.name)
			}
			time.Sleep(rollGap)
		}
	}), nil
}

// playCrasherSplit divides the route among four services.
func playCrasherSplit(r *recorder, hasTrouble bool) (bool, error) {
	services := []string{"huvo11a", "kafi81c", "lovo22d", "wuno96b"}
	f, err := newFleet(r, []int{1, 1, 1, 1}, 100*time.Millisecond, newConfig(7, route.NonIdempotent, crashBudget, services[:1], services), 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.site.crashPath = crashPath
	var failed error
	isBroken := playCrasher(f, 3100*time.Millisecond, func() {
		parts := services[:1]
		if hasTrouble {
			parts = services
		}
		failed = f.putConfig(newConfig(12, route.NonIdempotent, crashBudget, parts, services))
		time.Sleep(5 * quietTime)
	})
	return isBroken, failed
}

// playCrasherInAnswer lets the backend servers crash after they have sent a part of the answer.
func playCrasherInAnswer(r *recorder, hasTrouble bool) (bool, error) {
	services := []string{"wuno96b"}
	config := newConfig(7, route.NonIdempotent, crashBudget, services, services)
	f, err := newFleet(r, []int{1, 1, 1, 1}, 100*time.Millisecond, config, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.site.crashPath, f.site.crashesInAnswer = crashPath, hasTrouble
	return playCrasher(f, 2*time.Second, func() {}), nil
}
