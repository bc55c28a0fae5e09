// Package burn measures how fast workspaces use up the error budget of the
// services that they call, over several windows.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Windows are the lengths of time that burn is measured over, shortest first.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Indexes into Windows.
const (
	window5m = iota
	window30m
	window1h
	window6h
	window24h
)

// Each ring covers its longest window plus the bucket in progress. Finer
// buckets would make short windows more exact and cost memory per series: these
// take 744 bytes, and a window counts up to one bucket too much.
const (
	minuteBuckets = 31 // 30 m in buckets of 1 m
	tenMinBuckets = 37 // 6 h in buckets of 10 m
	hourBuckets   = 25 // 24 h in buckets of 1 h
)

// The layout of a bucket: the low bits of its number, then two counts.
const (
	countBits  = 22
	maxCount   = 1<<countBits - 1
	numberBits = 64 - 2*countBits
	numberMask = 1<<numberBits - 1
)

const recorderShards = 64

// Counts are the good and bad requests of one window.
type Counts struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Series is what is known of one workspace and service, by index into Windows.
type Series struct {
	Workspace string
	Service   string
	Counts    [len(Windows)]Counts
}

type seriesKey struct{ workspace, service string }

// Recorder counts good and bad requests in ring buckets. Its memory is bounded
// by the number of series. Observe takes no lock for a series that exists.
type Recorder struct {
	maxSeries int64
	held      atomic.Int64
	shards    [recorderShards]recorderShard
	dropped   atomic.Uint64
}

// recorderShard maps keys to series. The map is immutable; adding a series
// replaces it, which copies 1/64 of all series.
type recorderShard struct {
	series atomic.Pointer[map[seriesKey]*series]
	mu     sync.Mutex
}

type series struct {
	minute [minuteBuckets]atomic.Uint64
	tenMin [tenMinBuckets]atomic.Uint64
	hour   [hourBuckets]atomic.Uint64
	// lastHour is the number of the newest hour with a request.
	lastHour atomic.Int64
}

// NewRecorder returns a recorder of at most maxSeries series.
func NewRecorder(maxSeries int) *Recorder {
	r := &Recorder{maxSeries: int64(maxSeries)}
	for i := range r.shards {
		r.shards[i].series.Store(&map[seriesKey]*series{})
	}
	return r
}

// Observe counts one request that ended at the given time.
func (r *Recorder) Observe(workspace, service string, good bool, at time.Time) {
	key := seriesKey{workspace, service}
	shard := &r.shards[(xxhash.Sum64String(workspace)+xxhash.Sum64String(service))%recorderShards]
	s := (*shard.series.Load())[key]
	if s == nil {
		if s = r.add(shard, key, at); s == nil {
			r.dropped.Add(1)
			return
		}
	}
	s.observe(good, at)
}

// Dropped counts the requests that were not counted because the recorder holds
// its bound of series that are less than a day old.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// add returns the series of key. If the bound is reached it first drops the
// series of the shard that have had no request for a day, and returns nil if
// there are none.
func (r *Recorder) add(shard *recorderShard, key seriesKey, at time.Time) *series {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old := *shard.series.Load()
	if found := old[key]; found != nil {
		return found
	}
	fresh := make(map[seriesKey]*series, len(old)+1)
	full := r.held.Load() >= r.maxSeries
	oldest := bucketNumber(at, time.Hour) - hourBuckets
	for k, v := range old {
		if !full || v.lastHour.Load() > oldest {
			fresh[k] = v
		}
	}
	r.held.Add(int64(len(fresh) - len(old)))
	var added *series
	if r.held.Add(1) <= r.maxSeries {
		added = &series{}
		added.lastHour.Store(bucketNumber(at, time.Hour))
		fresh[key] = added
	} else {
		r.held.Add(-1)
	}
	shard.series.Store(&fresh)
	return added
}

func bucketNumber(at time.Time, length time.Duration) int64 {
	return at.Unix() / int64(length/time.Second)
}

func (s *series) observe(good bool, at time.Time) {
	observe(s.minute[:], bucketNumber(at, time.Minute), good)
	observe(s.tenMin[:], bucketNumber(at, 10*time.Minute), good)
	hour := bucketNumber(at, time.Hour)
	observe(s.hour[:], hour, good)
	for {
		last := s.lastHour.Load()
		if last >= hour || s.lastHour.CompareAndSwap(last, hour) {
			return
		}
	}
}

// observe counts one request in the bucket with the given number. A bucket that
// the ring has moved past is not changed. Counts stop at maxCount.
func observe(ring []atomic.Uint64, number int64, good bool) {
	slot := &ring[number%int64(len(ring))]
	for {
		old := slot.Load()
		held, counts := unpack(old, number)
		empty := counts == Counts{}
		if held > number && !empty {
			return
		}
		if held != number {
			counts = Counts{}
		}
		if good {
			counts.Good = min(counts.Good+1, maxCount)
		} else {
			counts.Bad = min(counts.Bad+1, maxCount)
		}
		if slot.CompareAndSwap(old, uint64(number&numberMask)<<(2*countBits)|counts.Good<<countBits|counts.Bad) {
			return
		}
	}
}

// unpack returns the number of a bucket, taken to be the one nearest to near
// that has the stored low bits, and its counts.
func unpack(value uint64, near int64) (number int64, c Counts) {
	c = Counts{Good: value >> countBits & maxCount, Bad: value & maxCount}
	low := int64(value >> (2 * countBits))
	difference := (low - near) & numberMask
	if difference > numberMask/2 {
		difference -= numberMask + 1
	}
	return near + difference, c
}

// sum adds up the buckets from the one in progress at number back to the one
// count buckets before.
func sum(ring []atomic.Uint64, number, count int64) Counts {
	var total Counts
	for i := range ring {
		held, c := unpack(ring[i].Load(), number)
		if held <= number && held >= number-count {
			total.Good += c.Good
			total.Bad += c.Bad
		}
	}
	return total
}

func (s *series) counts(now time.Time) (out [len(Windows)]Counts) {
	for w, length := range Windows {
		switch {
		case w <= window30m:
			out[w] = sum(s.minute[:], bucketNumber(now, time.Minute), int64(length/time.Minute))
		case w <= window6h:
			out[w] = sum(s.tenMin[:], bucketNumber(now, 10*time.Minute), int64(length/(10*time.Minute)))
		default:
			out[w] = sum(s.hour[:], bucketNumber(now, time.Hour), int64(length/time.Hour))
		}
	}
	return out
}

// Series returns the counts of all series at now, sorted by workspace and
// service. Series without a request in the longest window are left out.
func (r *Recorder) Series(now time.Time) []Series {
	var out []Series
	for i := range r.shards {
		for key, s := range *r.shards[i].series.Load() {
			counts := s.counts(now)
			if counts[window24h] != (Counts{}) {
				out = append(out, Series{Workspace: key.workspace, Service: key.service, Counts: counts})
			}
		}
	}
	sortSeries(out)
	return out
}

func sortSeries(series []Series) {
	slices.SortFunc(series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service))
	})
}

// Merge adds up the series of several nodes.
func Merge(nodes ...[]Series) []Series {
	index := make(map[seriesKey]int)
	var out []Series
	for _, node := range nodes {
		for _, s := range node {
			key := seriesKey{s.Workspace, s.Service}
			i, ok := index[key]
			if !ok {
				index[key] = len(out)
				out = append(out, s)
				continue
			}
			for w := range s.Counts {
				out[i].Counts[w].Good += s.Counts[w].Good
				out[i].Counts[w].Bad += s.Counts[w].Bad
			}
		}
	}
	sortSeries(out)
	return out
}
