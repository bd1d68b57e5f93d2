// Package workload estimates how much work a request is for a backend server, in seconds of
// one slot of a server of usual speed. It learns from the requests that this process has
// placed: by service, route, model and size, and for texts by their length, which callers
// declare more or less correctly. The time is an argument.
package workload

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// defaultSeconds is the work of a request while nothing is known: that of a short lookup.
	defaultSeconds = 0.05
	// defaultUnitSeconds is the work of one unit of a text while none is known, and
	// defaultPromptSeconds that of reading one byte of a prompt.
	defaultUnitSeconds   = 0.001
	defaultPromptSeconds = 0.0
	// maxKinds and maxCallers bound the memory: a kind takes at most 6 KiB, a caller 100 bytes.
	// The ones used least recently are forgotten.
	maxKinds   = 256
	maxCallers = 4096
	// sizeClasses is the number of classes of bodies of one kind. Each is 16 times as large as
	// the one before, the first up to 1 KiB.
	sizeClasses = 5
	// parentSamples is how many samples the estimate of the class above counts for: one
	// request of a kind does not determine the estimate of the next.
	parentSamples = 4
	// highQuantile is the quantile of Estimate.High.
	highQuantile = 0.9
	// rateSmoothing is the smallest weight of a new sample in the mean seconds per unit.
	rateSmoothing = 0.02
)

// Request describes a request whose work is to be estimated.
type Request struct {
	Service   string
	Route     string
	Model     string  // "" for plain services
	Workspace string  // "" for public routes
	BodyBytes int     // a measure of the prompt, too
	Declared  float64 // length of the text as the caller declares it, 0 for none
	IsText    bool    // its work depends on the length of the text that it generates
}

// Result is what the work of a request turned out to be.
type Result struct {
	Seconds       float64 // at a server of usual speed; 0 if not known, for a text
	Units         float64 // of the text that the work was for, as it is delivered; 0 if it is none
	Length        float64 // units of the complete text, more than Units if an earlier request began it; 0 for Units
	PromptSeconds float64 // the part before the first unit; 0 if unknown, or if the server held the prompt
}

// Estimate is the expected work of a request, in seconds of one slot of a server of usual
// speed. The zero value means that the work is not known.
type Estimate struct {
	Seconds float64 // mean
	High    float64 // 90 of 100 requests take less
	Prompt  float64 // the part of Seconds that a server saves which holds the prompt
	Length  Length  // of a text; zero for others
	// Age is the time since the last request of the kind, 0 if there was none.
	Age time.Duration
}

// Estimator learns the work of requests. It is safe for concurrent use.
type Estimator struct {
	mu      sync.Mutex
	root    distribution
	kinds   *simplelru.LRU[kindKey, *kind]
	callers *simplelru.LRU[callerKey, *caller]
}

// kindKey identifies requests of the same kind; services are kinds without a route and a model.
type kindKey struct{ service, route, model string }

type callerKey struct {
	kind      kindKey
	workspace string
}

// kind is what is known of the requests of one kind.
type kind struct {
	all    distribution
	bySize [sizeClasses]*distribution // nil before the first request
	length lengthModel
	unit   rate // seconds per unit of a text
	prompt rate // seconds per byte of a prompt
	seenAt time.Duration
}

// caller corrects the declared lengths of one workspace.
type caller struct{ ratio offset }

// New returns an estimator that knows nothing.
func New() *Estimator {
	kinds, err := simplelru.NewLRU[kindKey, *kind](maxKinds, nil)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	callers, err := simplelru.NewLRU[callerKey, *caller](maxCallers, nil)
	if err != nil {
		panic(err)
	}

	return &Estimator{kinds: kinds, callers: callers}
}

func (rq *Request) kind() kindKey { return kindKey{rq.Service, rq.Route, rq.Model} }

// sizeClass returns the class of a body's size.
func (rq *Request) sizeClass() int {
	return min(max(bits.Len(uint(max(rq.BodyBytes, 0)))-7, 0)/4, sizeClasses-1)
}

// Estimate returns the expected work of a request.
func (es *Estimator) Estimate(now time.Duration, rq *Request) Estimate {
	es.mu.Lock()
	defer es.mu.Unlock()

	ki, isKnown := es.kinds.Get(rq.kind())
	if rq.IsText {
		return es.estimateText(now, rq, ki)
	}
	out := Estimate{Seconds: defaultSeconds, High: defaultSeconds}
	out.refine(now, &es.root)
	if se, ok := es.kinds.Peek(kindKey{service: rq.Service}); ok {
		out.refine(now, &se.all)
	}
	if isKnown {
		out.refine(now, &ki.all)
		if di := ki.bySize[rq.sizeClass()]; di != nil {
			out.refine(now, di)
		}
		out.Age = now - ki.seenAt
	}

	return out
}

// refine replaces the estimate of a wider class by that of a narrower one, as far as the
// narrower one has samples.
func (et *Estimate) refine(now time.Duration, di *distribution) {
	mean, high, weight := di.at(now)
	if weight == 0 {
		return
	}
	et.Seconds = blend(et.Seconds, mean, weight)
	et.High = max(blend(et.High, high, weight), et.Seconds)
}

// blend returns the mean, in logarithms, of an estimate that counts for parentSamples and
// of one with a number of samples.
func blend(parent, own, samples float64) float64 {
	return math.Exp((parentSamples*math.Log(parent) + samples*math.Log(own)) / (parentSamples + samples))
}

// estimateText estimates the work of a text from its length. ki may be nil.
func (es *Estimator) estimateText(now time.Duration, rq *Request, ki *kind) Estimate {
	out := Estimate{}
	unit, prompt := defaultUnitSeconds, defaultPromptSeconds
	if ki == nil {
		out.Length = (&lengthModel{}).predict(rq.Declared)
	} else {
		out.Length, out.Age = ki.length.predict(rq.Declared), now-ki.seenAt
		if ca, ok := es.callers.Get(callerKey{rq.kind(), rq.Workspace}); ok {
			out.Length.mu += ca.ratio.value()
		}
		unit, prompt = ki.unit.or(unit), ki.prompt.or(prompt)
	}
	out.Prompt = prompt * float64(rq.BodyBytes)
	out.Seconds = out.Prompt + unit*out.Length.Mean()
	out.High = out.Prompt + unit*out.Length.Quantile(highQuantile)

	return out
}

// UnitSeconds returns the expected work of one unit of a text of the request's kind.
func (es *Estimator) UnitSeconds(rq *Request) float64 {
	es.mu.Lock()
	defer es.mu.Unlock()

	if ki, ok := es.kinds.Peek(rq.kind()); ok {
		return ki.unit.or(defaultUnitSeconds)
	}

	return defaultUnitSeconds
}

// Observe learns from a complete request.
func (es *Estimator) Observe(now time.Duration, rq *Request, re *Result) {
	isTime := re.Seconds > 0 && !math.IsInf(re.Seconds, 0)
	if !isTime && !(rq.IsText && re.Seconds == 0) {
		return
	}
	es.mu.Lock()
	defer es.mu.Unlock()

	ki := es.kindOf(rq.kind())
	ki.seenAt = now
	if rq.IsText {
		es.observeText(rq, re, ki)

		return
	}
	es.root.add(now, re.Seconds)
	if key := (kindKey{service: rq.Service}); key != rq.kind() {
		es.kindOf(key).all.add(now, re.Seconds)
	}
	ki.all.add(now, re.Seconds)
	size := rq.sizeClass()
	if ki.bySize[size] == nil {
		ki.bySize[size] = &distribution{}
	}
	ki.bySize[size].add(now, re.Seconds)
}

func (es *Estimator) observeText(rq *Request, re *Result, ki *kind) {
	if re.Units <= 0 {
		return
	}
	rest := re.Seconds - re.PromptSeconds
	if re.PromptSeconds > 0 && rq.BodyBytes > 0 {
		ki.prompt.add(re.PromptSeconds / float64(rq.BodyBytes))
	}
	if rest > 0 {
		ki.unit.add(rest / re.Units)
	}
	length := re.Length
	if length <= 0 {
		length = re.Units
	}
	key := callerKey{rq.kind(), rq.Workspace}
	ca, ok := es.callers.Get(key)
	if !ok {
		ca = &caller{}
		es.callers.Add(key, ca)
	}
	if rq.Declared > 0 && ki.length.n > 0 {
		ca.ratio.add(math.Log(length) - ki.length.predict(rq.Declared).mu)
	}
	ki.length.add(rq.Declared, length)
}

// kindOf returns the state of a kind, which is new if it has not been seen lately.
func (es *Estimator) kindOf(key kindKey) *kind {
	ki, ok := es.kinds.Get(key)
	if !ok {
		ki = &kind{}
		es.kinds.Add(key, ki)
	}

	return ki
}

// rate is a moving mean.
type rate struct{ mean, samples float64 }

func (ra *rate) add(v float64) {
	ra.samples++
	ra.mean += max(1/ra.samples, rateSmoothing) * (v - ra.mean)
}

func (ra *rate) or(v float64) float64 {
	if ra.samples == 0 {
		return v
	}

	return ra.mean
}

// Len returns the number of kinds, and of workspaces by kind, that are known.
func (es *Estimator) Len() (kinds, callers int) {
	es.mu.Lock()
	defer es.mu.Unlock()

	return es.kinds.Len(), es.callers.Len()
}
