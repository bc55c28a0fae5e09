// Package burn measures the rate at which workspaces consume the error budget of
// the services that they call, over several windows.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Windows are the lengths of the windows over which burn rates are measured,
// shortest first.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Indexes into Windows.
const (
	window5m = iota
	window30m
	window1h
	window6h
	window24h
)

// Numbers of buckets. Each ring covers its longest window plus the current
// bucket. With these sizes a series takes 744 bytes, and a window counts up to
// one bucket too much. Finer buckets would make short windows more accurate but
// need more memory per series.
const (
	minuteBuckets = 31 // 30 m in buckets of 1 m
	tenMinBuckets = 37 // 6 h in buckets of 10 m
	hourBuckets   = 25 // 24 h in buckets of 1 h
)

// Layout of a bucket in 64 bits, from high to low: the low bits of the bucket
// number, the count of good requests, the count of bad requests.
const (
	countBits  = 22
	maxCount   = 1<<countBits - 1
	numberBits = 64 - 2*countBits
	numberMask = 1<<numberBits - 1
)

// recorderShards is the number of maps over which the series are spread, so that
// adding a series copies only one of them.
const recorderShards = 64

// Counts holds the numbers of good and bad requests of one window.
type Counts struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Series holds the counts of one workspace and service.
type Series struct {
	Workspace string
	Service   string
	Counts    [len(Windows)]Counts // by index into Windows
}

type seriesKey struct{ workspace, service string }

// Recorder counts good and bad requests in ring buckets. The number of series is
// limited, which limits its memory. It is safe for concurrent use. Observe takes
// no lock if the series exists.
type Recorder struct {
	maxSeries   int64
	seriesCount atomic.Int64 // number of series
	shards      [recorderShards]recorderShard
	dropped     atomic.Uint64 // requests not counted
}

// recorderShard maps keys to series. The map is immutable. Adding a series
// replaces the map, which copies about 1/64 of all entries.
type recorderShard struct {
	series atomic.Pointer[map[seriesKey]*series]
	mu     sync.Mutex
}

// series holds the ring buckets of one workspace and service.
type series struct {
	minute [minuteBuckets]atomic.Uint64
	tenMin [tenMinBuckets]atomic.Uint64
	hour   [hourBuckets]atomic.Uint64
	// newestHour is the number of the newest hour with a request.
	newestHour atomic.Int64
}

// NewRecorder returns a recorder that holds at most maxSeries series.
func NewRecorder(maxSeries int) *Recorder {
	r := &Recorder{maxSeries: int64(maxSeries)}
	for i := range r.shards {
		r.shards[i].series.Store(&map[seriesKey]*series{})
	}
	return r
}

// Observe counts one request that ended at the given time. It drops the request if
// a new series is needed and the recorder is full.
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

// Dropped returns the number of requests that were not counted because the
// recorder was full of series with a request in the last day.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// add returns the series of key and creates it if necessary. If the recorder is
// full, it first drops the series of the shard without a request in the last day.
// It returns nil if the recorder is still full.
func (r *Recorder) add(shard *recorderShard, key seriesKey, at time.Time) *series {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old := *shard.series.Load()
	if found := old[key]; found != nil {
		return found
	}
	updated := make(map[seriesKey]*series, len(old)+1)
	full := r.seriesCount.Load() >= r.maxSeries
	lastIdleHour := bucketNumber(at, time.Hour) - hourBuckets
	for k, v := range old {
		if !full || v.newestHour.Load() > lastIdleHour {
			updated[k] = v
		}
	}
	r.seriesCount.Add(int64(len(updated) - len(old)))
	var added *series
	if r.seriesCount.Add(1) <= r.maxSeries {
		added = &series{}
		added.newestHour.Store(bucketNumber(at, time.Hour))
		updated[key] = added
	} else {
		r.seriesCount.Add(-1)
	}
	shard.series.Store(&updated)
	return added
}

// bucketNumber returns the number of the bucket of the given length that contains
// a time.
func bucketNumber(at time.Time, length time.Duration) int64 {
	return at.Unix() / int64(length/time.Second)
}

// observe counts one request in all rings.
func (s *series) observe(good bool, at time.Time) {
	addToRing(s.minute[:], bucketNumber(at, time.Minute), good)
	addToRing(s.tenMin[:], bucketNumber(at, 10*time.Minute), good)
	hour := bucketNumber(at, time.Hour)
	addToRing(s.hour[:], hour, good)
	for {
		newest := s.newestHour.Load()
		if newest >= hour || s.newestHour.CompareAndSwap(newest, hour) {
			return
		}
	}
}

// addToRing counts one request in the bucket with the given number. It ignores the
// request if the ring already holds a later bucket in that slot. Counts are capped
// at maxCount.
func addToRing(ring []atomic.Uint64, number int64, good bool) {
	slot := &ring[number%int64(len(ring))]
	for {
		old := slot.Load()
		stored, counts := unpackBucket(old, number)
		empty := counts == Counts{}
		if stored > number && !empty {
			return
		}
		if stored != number {
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

// unpackBucket returns the number and the counts of a bucket. Only the low bits of
// the number are stored; the result is the number closest to near with these bits.
func unpackBucket(value uint64, near int64) (number int64, c Counts) {
	c = Counts{Good: value >> countBits & maxCount, Bad: value & maxCount}
	low := int64(value >> (2 * countBits))
	difference := (low - near) & numberMask
	if difference > numberMask/2 {
		difference -= numberMask + 1
	}
	return near + difference, c
}

// sumRing returns the sum of the current bucket, which has the given number, and
// the count buckets before it.
func sumRing(ring []atomic.Uint64, number, count int64) Counts {
	var total Counts
	for i := range ring {
		stored, c := unpackBucket(ring[i].Load(), number)
		if stored <= number && stored >= number-count {
			total.Good += c.Good
			total.Bad += c.Bad
		}
	}
	return total
}

// counts returns the counts of all windows at now.
func (s *series) counts(now time.Time) (out [len(Windows)]Counts) {
	for w, length := range Windows {
		switch {
		case w <= window30m:
			out[w] = sumRing(s.minute[:], bucketNumber(now, time.Minute), int64(length/time.Minute))
		case w <= window6h:
			out[w] = sumRing(s.tenMin[:], bucketNumber(now, 10*time.Minute), int64(length/(10*time.Minute)))
		default:
			out[w] = sumRing(s.hour[:], bucketNumber(now, time.Hour), int64(length/time.Hour))
		}
	}
	return out
}

// Series returns the counts of all series at now, sorted by workspace and
// service. Series without a request in the longest window are omitted.
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

// sortSeries sorts by workspace and service.
func sortSeries(series []Series) {
	slices.SortFunc(series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service))
	})
}

// Merge returns the sums of the series of several nodes, sorted by workspace and
// service.
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
