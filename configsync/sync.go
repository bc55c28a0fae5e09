package configsync

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/store"
)

// Settings configures the synchronization of the configuration. Zero durations
// select the defaults.
type Settings struct {
	// PollInterval is the time between two reads of the head by a relay. These
	// reads keep the nodes fresh; the watch delivers changes sooner.
	PollInterval time.Duration
	// WatchWait is how long one watch call waits for a change.
	WatchWait time.Duration
	// CallTimeout limits one call to the store or to a peer.
	CallTimeout time.Duration
	// PullDelay is how long a node waits for a relay's push after a peer reports a
	// greater revision, before it pulls.
	PullDelay time.Duration
	// AckInterval is the time between two queries to a node that has not yet
	// acknowledged a change.
	AckInterval time.Duration
}

const (
	// defaultPollInterval leaves 1.6 s of the evidence window of 2 s for the
	// distribution by heartbeats and for a lost read.
	defaultPollInterval = 400 * time.Millisecond
	defaultWatchWait    = 5 * time.Second
	defaultCallTimeout  = time.Second
	defaultPullDelay    = 150 * time.Millisecond
	defaultAckInterval  = 200 * time.Millisecond
	// maxBootInterval is the upper limit of the backoff between store reads by a
	// node that is not ready. The backoff keeps the store load low when many nodes
	// restart in an outage.
	maxBootInterval = 4 * time.Second
	// retryAfter is the Retry-After value of a refused request.
	retryAfter = 2 * time.Second
	// pushConcurrency limits the concurrent calls to peers of a relay or of an
	// operator's change.
	pushConcurrency = 16
)

func (s Settings) withDefaults() Settings {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&s.PollInterval, defaultPollInterval)
	set(&s.WatchWait, defaultWatchWait)
	set(&s.CallTimeout, defaultCallTimeout)
	set(&s.PullDelay, defaultPullDelay)
	set(&s.AckInterval, defaultAckInterval)
	return s
}

// Sync distributes the configuration on one node: it loads, relays, pulls and
// installs revisions. Its methods are safe for concurrent use.
type Sync struct {
	settings   Settings
	members    *membership.Membership
	store      store.Store
	repository *config.Repository
	current    *config.CurrentSnapshot
	transport  Transport
	log        logr.Logger
	// freshnessRule is Decide, except in tests that compare it with other rules.
	freshnessRule func(Evidence, time.Duration) ServingState

	currentRevision atomic.Pointer[revision]
	headPosition    atomicRevision // greatest position in the store at which a head was read
	ready           atomic.Bool
	newerPeers      chan membership.VM // peer with a greater revision, to pull from
	pushSignal      chan struct{}      // signals that this relay has a revision to push
	lastPushed      atomicRevision     // last revision that this relay pushed

	installMu sync.Mutex // held to install a revision; not taken by caller requests
	loadMu    sync.Mutex // held to load a revision from the store
}

// New returns a Sync that stores the current snapshot in current. Run starts it.
func New(settings Settings, members *membership.Membership, configStore store.Store, current *config.CurrentSnapshot, transport Transport, log logr.Logger) *Sync {
	s := &Sync{
		settings:      settings.withDefaults(),
		members:       members,
		store:         configStore,
		repository:    config.NewRepository(configStore),
		current:       current,
		transport:     transport,
		log:           log,
		freshnessRule: Decide,
		newerPeers:    make(chan membership.VM, 1),
		pushSignal:    make(chan struct{}, 1),
	}
	members.OnNewerRevision(func(peer membership.VM, _ store.Revision) {
		select {
		case s.newerPeers <- peer:
		default: // a pull is pending; a later heartbeat reports the revision again
		}
	})
	return s
}

// Run synchronizes the configuration until ctx is canceled.
func (s *Sync) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.readUntilReady(ctx) })
	wg.Go(func() { s.pollHead(ctx) })
	wg.Go(func() { s.watchHead(ctx) })
	wg.Go(func() { s.pullLoop(ctx) })
	wg.Go(func() { s.pushLoop(ctx) })
	wg.Wait()
}

// Ready reports whether the node has had in force, since its start, the highest
// revision known to the store or any reachable peer. Once true, it stays true.
func (s *Sync) Ready() bool {
	if s.ready.Load() {
		return true
	}
	view := s.members.View()
	snapshot := s.current.Load()
	if snapshot == nil || !view.Informed || snapshot.Revision < view.HighestRevision {
		return false
	}
	s.ready.Store(true)
	return true
}

// ServingState evaluates the freshness rule at this moment.
func (s *Sync) ServingState() ServingState {
	view := s.members.View()
	now := time.Now()
	return s.freshnessRule(Evidence{
		Ready:        s.Ready(),
		StoreReadAge: view.StoreReadAge(now),
		MajorityAge:  view.MajorityAge(now),
	}, s.members.EvidenceWindow())
}

// Snapshot returns the configuration for serving a request. If the node must
// refuse requests, the error is an apierr error for the caller: unavailable, not
// run, with Retry-After.
func (s *Sync) Snapshot() (*config.Snapshot, error) {
	switch s.ServingState() {
	case ServingByMajority:
		count(counterServedByMajority)
	case Refusing:
		count(counterRefusals)
		return nil, apierr.New(apierr.Unavailable, "this node can't tell whether its configuration is current",
			apierr.NotRun(), apierr.RetryAfter(retryAfter))
	}
	return s.current.Load(), nil
}

// Revision returns the revision in force, or 0 if there is none.
func (s *Sync) Revision() store.Revision {
	if snapshot := s.current.Load(); snapshot != nil {
		return snapshot.Revision
	}
	return 0
}

// install puts a revision in force if it is greater than the current one. It
// returns an error if the revision is not valid.
func (s *Sync) install(r *revision) error {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	if r.number <= s.Revision() {
		return nil
	}
	snapshot, err := r.snapshot()
	if err != nil {
		return err
	}
	if s.current.StoreIfNewer(snapshot) {
		s.currentRevision.Store(r)
		s.members.SetRevision(r.number)
		count(counterInstalled)
		s.log.Info("configuration in force", "revision", r.number, "author", r.author)
	}
	return nil
}

// HandlePush handles the push of a relay, or the query of a node that applies an
// operator's change. It returns an error if the revision is not valid.
func (s *Sync) HandlePush(_ context.Context, request *PushRequest) (*PushReply, error) {
	if request.Revision <= s.Revision() || len(request.Parts) == 0 {
		return &PushReply{Revision: s.Revision()}, nil
	}
	values, missing, err := resolveParts(request.Parts, s.currentRevision.Load())
	if err != nil {
		return nil, err
	}
	if len(missing) > 0 {
		return &PushReply{Revision: s.Revision(), Missing: missing}, nil
	}
	if err := s.install(newRevision(request.Revision, request.Author, values)); err != nil {
		return nil, err
	}
	return &PushReply{Revision: s.Revision()}, nil
}

// HandlePull handles the request of a node whose revision is less than a peer's.
// The error is always nil.
func (s *Sync) HandlePull(_ context.Context, request *PullRequest) (*PullReply, error) {
	r := s.currentRevision.Load()
	if r == nil || r.number <= request.KnownRevision {
		return &PullReply{Revision: s.Revision()}, nil
	}
	known := make(map[string]struct{}, len(request.KnownDigests))
	for _, digest := range request.KnownDigests {
		known[digest] = struct{}{}
	}
	parts := r.partList(func(digest string) bool { _, ok := known[digest]; return !ok })
	return &PullReply{Revision: r.number, Author: r.author, Parts: parts}, nil
}

var errMissingParts = errors.New("configsync: the peer omitted parts that this node does not have")

// pullLoop pulls from each peer that reported a greater revision.
func (s *Sync) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-s.newerPeers:
			if !sleep(ctx, s.settings.PullDelay) {
				return
			}
			count(counterPulls)
			if err := countError(counterPullErrors, s.pull(ctx, peer)); err != nil {
				s.log.V(1).Info("configuration not pulled", "peer", peer.Name, "error", err.Error())
			}
		}
	}
}

// pull requests the revision of a peer and installs it. It does nothing if this
// node already has the highest known revision.
func (s *Sync) pull(ctx context.Context, peer membership.VM) error {
	request := &PullRequest{KnownRevision: s.Revision()}
	if s.members.View().HighestRevision <= request.KnownRevision {
		return nil
	}
	base := s.currentRevision.Load()
	if base != nil {
		request.KnownDigests = base.digests()
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	reply, err := s.transport.Pull(ctx, peer, request)
	if err != nil || reply.Revision <= request.KnownRevision || len(reply.Parts) == 0 {
		return err
	}
	values, missing, err := resolveParts(reply.Parts, base)
	if err != nil {
		return err
	}
	if len(missing) > 0 {
		return errMissingParts
	}
	return s.install(newRevision(reply.Revision, reply.Author, values))
}

// atomicRevision is a store revision that is safe for concurrent use.
type atomicRevision struct{ value atomic.Uint64 }

func (a *atomicRevision) Load() store.Revision   { return store.Revision(a.value.Load()) }
func (a *atomicRevision) Store(r store.Revision) { a.value.Store(uint64(r)) }

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	return boottime.Sleep(ctx, d) == nil
}
