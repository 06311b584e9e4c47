package sdpressure_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdadmission"
	"github.com/savorydeal/savorydeal/internal/sdlimit"
	"github.com/savorydeal/savorydeal/internal/sdpressure"
)

// The driver plays the decisions of doors and queues against each other on a
// clock of its own: requests enter at one of many doors, spend a short stage at
// a front service and then need one of a few targets of a deep one.

const (
	driveDoors     = 16
	driveTargets   = 3
	driveFront     = 10 * time.Millisecond
	driveHop       = time.Millisecond
	driveTries     = 4
	driveTimeout   = 2 * time.Second
	drivePatience  = 4 * time.Second
	driveCallers   = 12
	driveInterval  = 250 * time.Millisecond
	driveFrontName = "front"
	driveDeepName  = "deep"
)

type driveCase struct {
	name        string
	slots       int
	serviceTime time.Duration
	surge       float64
	slow        float64
	spans       [][2]time.Duration
	total       time.Duration
}

func (c driveCase) on(at time.Duration) bool {
	for _, span := range c.spans {
		if at >= span[0] && at < span[1] {
			return true
		}
	}
	return false
}

func (c driveCase) capacity() float64 {
	return float64(driveTargets*c.slots) / c.serviceTime.Seconds()
}

type driveRequest struct {
	class     savorydeal.Class
	caller    string
	arrived   time.Duration
	ended     time.Duration
	tries     int
	completed bool
}

type driveRefusal struct {
	at    time.Duration
	class savorydeal.Class
}

type driver struct {
	c        driveCase
	random   *rand.Rand
	start    time.Time
	now      time.Duration
	events   driveEvents
	order    int
	doors    []*sdpressure.Door
	targets  []*driveTarget
	requests []*driveRequest
	refused  []driveRefusal
	begun    []driveRefusal
	runs     int
	// work is the seconds of service drawn by the judgedRuns.
	work       float64
	judgedRuns float64
}

type driveTarget struct {
	d       *driver
	queue   *sdadmission.Queue
	ticket  savorydeal.Ticket
	waiting map[savorydeal.Ticket]*driveCall
}

type driveCall struct {
	request *driveRequest
	door    *sdpressure.Door
	chain   savorydeal.Chain
}

func newDriver(c driveCase, seed uint64) *driver {
	d := &driver{c: c, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0)}
	for range driveDoors {
		d.doors = append(d.doors, sdpressure.New(rand.New(rand.NewPCG(seed, uint64(len(d.doors)+10)))))
	}
	for range driveTargets {
		d.targets = append(d.targets, &driveTarget{
			d: d, queue: sdadmission.New(sdlimit.NewFixed(c.slots), sdadmission.Options{}), waiting: make(map[savorydeal.Ticket]*driveCall),
		})
	}
	return d
}

func (d *driver) at(after time.Duration, do func()) {
	d.order++
	heap.Push(&d.events, driveEvent{d.now + after, d.order, do})
}

func (d *driver) wall() time.Time { return d.start.Add(d.now) }

func (d *driver) run() {
	d.at(0, d.arrive)
	for _, target := range d.targets {
		d.at(0, target.tick)
	}
	for len(d.events) > 0 && d.now < d.c.total+drivePatience {
		event := heap.Pop(&d.events).(driveEvent)
		d.now = event.at
		event.do()
	}
}

// arrive makes one request and schedules the next.
func (d *driver) arrive() {
	if d.now >= d.c.total {
		return
	}
	rate, factor := 0.6*d.c.capacity(), 1.0
	if d.c.on(d.now) {
		factor = d.c.surge
	}
	request := &driveRequest{class: d.class(), caller: d.caller(factor), arrived: d.now}
	d.requests = append(d.requests, request)
	d.try(request)
	d.at(time.Duration(d.random.ExpFloat64()/(rate*factor)*float64(time.Second)), d.arrive)
}

func (d *driver) class() savorydeal.Class {
	switch at := d.random.Float64(); {
	case at < 0.2:
		return savorydeal.ClassCritical
	case at < 0.35:
		return savorydeal.ClassHigh
	case at < 0.55:
		return savorydeal.ClassNormal
	}
	return savorydeal.ClassLow
}

func (d *driver) caller(factor float64) string {
	if d.random.Float64() < 0.5*(factor-1)/factor {
		return fmt.Sprint(d.random.IntN(2))
	}
	return fmt.Sprint(d.random.IntN(driveCallers))
}

func (d *driver) try(request *driveRequest) {
	request.tries++
	call := &driveCall{
		request: request,
		door:    d.doors[d.random.IntN(len(d.doors))],
		chain:   savorydeal.Chain{Class: request.class, Caller: request.caller, Rank: d.random.Uint32()},
	}
	call.chain.Rank = call.door.Rank(d.wall(), call.chain)
	if admitted, _ := call.door.Admit(d.wall(), driveFrontName, "op", call.chain); !admitted {
		d.fail(request)
		return
	}
	deadline := d.wall().Add(driveTimeout)
	d.at(driveFront, func() {
		call.chain.Depth = 1
		d.choose().arrive(call, deadline)
	})
}

// choose picks the shorter of two queues.
func (d *driver) choose() *driveTarget {
	a, b := d.targets[d.random.IntN(len(d.targets))], d.targets[d.random.IntN(len(d.targets))]
	sa, sb := a.queue.Signal(d.wall()), b.queue.Signal(d.wall())
	if sb.Queued+sb.Running < sa.Queued+sa.Running {
		return b
	}
	return a
}

func (d *driver) fail(request *driveRequest) {
	request.ended = d.now
	d.refused = append(d.refused, driveRefusal{d.now, request.class})
	if request.tries < driveTries && d.now-request.arrived < drivePatience {
		d.at(10*time.Millisecond+time.Duration(d.random.IntN(20))*time.Millisecond, func() { d.try(request) })
	}
}

func (t *driveTarget) tick() {
	t.act(t.queue.Tick(t.d.wall()))
	t.d.at(5*time.Millisecond, t.tick)
}

func (t *driveTarget) arrive(call *driveCall, deadline time.Time) {
	t.ticket++
	t.waiting[t.ticket] = call
	t.act(t.queue.Arrive(t.d.wall(), savorydeal.Arrival{
		Ticket: t.ticket, Class: call.chain.Class, Caller: call.chain.Caller, Rank: call.chain.Rank,
		Depth: call.chain.Depth, Deadline: deadline,
	}))
}

func (t *driveTarget) act(actions []savorydeal.AdmissionAction) {
	for _, action := range actions {
		call := t.waiting[action.Ticket]
		delete(t.waiting, action.Ticket)
		if action.Verdict == savorydeal.VerdictRun {
			t.begin(action.Ticket, call)
			continue
		}
		t.answer(call, func() { t.d.fail(call.request) })
	}
}

func (t *driveTarget) begin(ticket savorydeal.Ticket, call *driveCall) {
	d := t.d
	d.runs++
	d.begun = append(d.begun, driveRefusal{d.now, call.chain.Class})
	const sigma = 0.5
	work := float64(d.c.serviceTime) * math.Exp(d.random.NormFloat64()*sigma-sigma*sigma/2)
	if d.c.on(d.now) {
		work *= d.c.slow
	}
	if d.judged(d.now) {
		d.work += work / float64(time.Second)
		d.judgedRuns++
	}
	d.at(time.Duration(work), func() {
		actions := t.queue.Finish(d.wall(), savorydeal.Completion{Ticket: ticket, Latency: time.Duration(work), Result: savorydeal.RunSucceeded})
		t.answer(call, func() {
			call.request.completed = true
			call.request.ended = d.now
		})
		t.act(actions)
	})
}

// answer brings the target's word back to the door.
func (t *driveTarget) answer(call *driveCall, then func()) {
	signal := t.queue.Signal(t.d.wall())
	t.d.at(driveHop, func() {
		call.door.Learn(t.d.wall(), driveFrontName, "op", savorydeal.AnswerEnd{
			Signal:   savorydeal.LoadSignal{Limit: 1},
			Pressure: []savorydeal.ServicePressure{{Service: driveDeepName, DropLevel: signal.DropLevel}},
		})
		then()
	})
}

type driveResult struct {
	important, total     float64
	recovery             time.Duration
	recovered            bool
	violations, refusals int
	fairness             float64
}

// judged reports whether a time is in a trigger and past its settling.
func (d *driver) judged(at time.Duration) bool {
	for _, span := range d.c.spans {
		if at >= span[0]+time.Second && at < span[1] {
			return true
		}
	}
	return false
}

func (d *driver) judge() driveResult {
	res := driveResult{recovered: true}
	offered, done, importantOffered, importantDone, importantEnded, length := 0, 0, 0, 0, 0, 0.0
	for _, span := range d.c.spans {
		length += (span[1] - span[0] - time.Second).Seconds()
	}
	for _, one := range d.requests {
		if d.judged(one.arrived) {
			offered++
			if one.class == savorydeal.ClassCritical {
				importantOffered++
				if one.completed {
					importantDone++
				}
			}
		}
		if one.completed && d.judged(one.ended) {
			done++
			if one.class == savorydeal.ClassCritical {
				importantEnded++
			}
		}
	}
	// The service times are drawn: what the slots allowed follows from them.
	capacity := float64(driveTargets*d.c.slots) * length / (d.work / max(1, d.judgedRuns))
	res.total = float64(done) / min(capacity, float64(offered))
	res.important = float64(importantDone) / float64(importantOffered)
	if float64(importantOffered) > capacity {
		res.important = float64(importantEnded) / capacity
	}
	for i, span := range d.c.spans {
		until := d.c.total
		if i+1 < len(d.c.spans) {
			until = d.c.spans[i+1][0]
		}
		found := false
		for at := span[1]; at+500*time.Millisecond <= until; at += 100 * time.Millisecond {
			if d.part(at, at+500*time.Millisecond) >= 0.95 && d.part(at+100*time.Millisecond, at+600*time.Millisecond) >= 0.95 {
				res.recovery = max(res.recovery, at-span[1])
				found = true
				break
			}
		}
		res.recovered = res.recovered && found
	}
	res.violations, res.refusals = d.violations()
	res.fairness = d.fairness()
	return res
}

func (d *driver) part(from, to time.Duration) float64 {
	offered, done := 0, 0
	for _, one := range d.requests {
		if one.arrived >= from && one.arrived < to {
			offered++
			if one.completed {
				done++
			}
		}
	}
	return float64(done) / max(1, float64(offered))
}

func (d *driver) violations() (int, int) {
	count, refusals := 0, 0
	for _, refusal := range d.refused {
		if refusal.class != savorydeal.ClassCritical {
			continue
		}
		refusals++
		lesser := anyWithin(d.begun, refusal.at-driveInterval, refusal.at, func(c savorydeal.Class) bool { return c != savorydeal.ClassCritical })
		lasting := anyWithin(d.refused, refusal.at-2*driveInterval, refusal.at-driveInterval, func(c savorydeal.Class) bool { return c == savorydeal.ClassCritical })
		if lesser && lasting {
			count++
		}
	}
	return count, refusals
}

// anyWithin reports whether the list, which is in the order of time, has a match
// between two times.
func anyWithin(list []driveRefusal, from, to time.Duration, matches func(savorydeal.Class) bool) bool {
	first := sort.Search(len(list), func(i int) bool { return list[i].at >= from })
	for _, one := range list[first:] {
		if one.at > to {
			return false
		}
		if matches(one.class) {
			return true
		}
	}
	return false
}

// fairness is Jain's index of completions of low requests over the callers
// that ask for at least an equal share.
func (d *driver) fairness() float64 {
	worst := 1.0
	for _, class := range savorydeal.Classes() {
		got, asked, all := map[string]float64{}, map[string]float64{}, 0.0
		for _, one := range d.requests {
			if one.class != class || !d.judged(one.arrived) {
				continue
			}
			asked[one.caller]++
			if one.completed {
				got[one.caller]++
				all++
			}
		}
		if all < 8*driveCallers {
			continue
		}
		sum, squares, n := 0.0, 0.0, 0.0
		for caller, want := range asked {
			share := min(1, got[caller]/min(want, all/driveCallers))
			sum += share
			squares += share * share
			n++
		}
		worst = min(worst, sum*sum/(n*squares))
	}
	return worst
}

type driveEvent struct {
	at    time.Duration
	order int
	do    func()
}

type driveEvents []driveEvent

func (e driveEvents) Len() int { return len(e) }
func (e driveEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e driveEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *driveEvents) Push(x any)   { *e = append(*e, x.(driveEvent)) }
func (e *driveEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// overloaded reports whether the requests arriving in the trigger needed more
// than a part of what the slots allow.
func (d *driver) overloaded(part float64) bool {
	offered, length := 0, 0.0
	for _, one := range d.requests {
		if d.c.on(one.arrived) {
			offered++
		}
	}
	for _, span := range d.c.spans {
		length += (span[1] - span[0]).Seconds()
	}
	return float64(offered) > part*d.c.capacity()/d.c.slow*length
}
