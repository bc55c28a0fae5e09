package archive

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figweir/figweir/quarantine"
)

const (
	// prefix is the prefix of all keys; suspicionPrefix that of suspicions and evidencePrefix that
	// of losses.
	prefix          = "figweir/quarantine/"
	suspicionPrefix = prefix + "suspicions/"
	evidencePrefix  = prefix + "evidence/"
)

// errNoParts means that an entry names no prompt parts.
var errNoParts = errors.New("no prompt parts")

// suspicionKey returns the key of the suspicion with the given sorted parts.
func suspicionKey(parts []string) string {
	return fmt.Sprintf("%s%016x", suspicionPrefix, xxhash.Sum64String(strings.Join(parts, ",")))
}

func evidenceKey(e *quarantine.Evidence) string {
	return fmt.Sprintf("%s%016x%016x", evidencePrefix, e.Request, e.Server)
}

// suspicionRecord is the entry of a suspicion.
type suspicionRecord struct {
	Parts       []string `json:"parts"`
	SinceMillis int64    `json:"since_unix_ms"`
	LastMillis  int64    `json:"last_crash_unix_ms"`
	Crashes     int      `json:"crashes"`
	Started     int      `json:"trials_started"`
	Trials      int      `json:"trials_failed"`
	Servers     []uint64 `json:"servers,omitempty"`
}

// evidenceRecord is the entry of a loss. Only parts that were in doubt because of several crashes are
// named.
type evidenceRecord struct {
	Parts    []string `json:"parts"`
	Request  uint64   `json:"request"`
	Server   uint64   `json:"server"`
	AtMillis int64    `json:"at_unix_ms"`
}

// timeline converts between the times of this process and Unix milliseconds in true time.
type timeline struct{ trueNow, now time.Time }

func (l timeline) millis(t time.Time) int64 { return l.trueNow.Add(t.Sub(l.now)).UnixMilli() }

// time returns a time in the past; a later one is taken for now.
func (l timeline) time(millis int64) time.Time {
	return l.now.Add(-max(0, l.trueNow.Sub(time.UnixMilli(millis))))
}

func (l timeline) encodeSuspicion(s *quarantine.Suspicion) ([]byte, error) {
	return json.Marshal(suspicionRecord{
		Parts: s.Parts, SinceMillis: l.millis(s.Since), LastMillis: l.millis(s.LastCrash), Crashes: s.Crashes,
		Started: s.Started, Trials: s.Trials, Servers: s.Servers,
	})
}

func (l timeline) decodeSuspicion(raw []byte) (quarantine.Suspicion, error) {
	var r suspicionRecord
	if err := json.Unmarshal(raw, &r); err != nil {
		return quarantine.Suspicion{}, err
	}
	if len(r.Parts) == 0 {
		return quarantine.Suspicion{}, errNoParts
	}
	slices.Sort(r.Parts)
	return quarantine.Suspicion{
		Parts: r.Parts, Since: l.time(r.SinceMillis), LastCrash: l.time(r.LastMillis), Crashes: max(0, r.Crashes),
		Started: max(0, r.Started), Trials: max(0, r.Trials), Servers: r.Servers,
	}, nil
}

func (l timeline) encodeEvidence(e *quarantine.Evidence) ([]byte, error) {
	return json.Marshal(evidenceRecord{Parts: e.Parts, Request: e.Request, Server: e.Server, AtMillis: l.millis(e.At)})
}

func (l timeline) decodeEvidence(raw []byte) (quarantine.Evidence, error) {
	var r evidenceRecord
	if err := json.Unmarshal(raw, &r); err != nil {
		return quarantine.Evidence{}, err
	}
	if len(r.Parts) == 0 {
		return quarantine.Evidence{}, errNoParts
	}
	return quarantine.Evidence{Parts: r.Parts, Request: r.Request, Server: r.Server, At: l.time(r.AtMillis)}, nil
}
