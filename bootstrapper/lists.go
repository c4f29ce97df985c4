package bootstrapper

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// listCallTimeout bounds a call that asks a VM for its copy of the list, without the
	// transfer of a large one.
	listCallTimeout = 400 * buckthorndyke.Millisecond
	// listCopyTimeout bounds the transfer of a copy.
	listCopyTimeout = 1500 * buckthorndyke.Millisecond
	// listRetryWait is the time until a VM that has no new copy yet is asked again.
	listRetryWait = 40 * buckthorndyke.Millisecond
	// listTimeout bounds all calls for one copy.
	listTimeout = 4 * buckthorndyke.Second
	// startPatience is how long a VM without a list tries to reach a seed before it reads
	// the directory: the VMs of a fleet that starts as a whole do not start at the same
	// instant.
	startPatience = 800 * buckthorndyke.Millisecond
)

// errOlder means that another VM's copy is older than the VM's own list.
var errOlder = buckthorndyke.NewRefusal(buckthorndyke.CodeStale, buckthorndyke.NotRun, "the copy is older than the list")

// Lists gets copies of the list of servers from other entry VMs: from one of its roots, or
// from the VM that the root sends it on to. It implements buckthorndyke.ListSource.
type Lists struct {
	clock  buckthorndyke.Clock
	logger zerolog.Logger
	peers  buckthorndyke.ListPeers
	roots  []string
	self   string
}

// NewLists returns a source for the VM with the peer address self. It has no copies for a
// VM that is one of the seeds: these read the directory.
func NewLists(
	peers buckthorndyke.ListPeers, seeds []string, self string, clock buckthorndyke.Clock, logger zerolog.Logger,
) *Lists {
	l := &Lists{clock: clock, logger: logger, peers: peers, self: self}
	first := int(xxhash.Sum64String(self) % uint64(max(len(seeds), 1)))
	for i := range seeds {
		seed := seeds[(first+i)%len(seeds)]
		if seed == self {
			l.roots = nil
			return l
		}
		l.roots = append(l.roots, seed)
	}
	return l
}

// Backends implements buckthorndyke.ListSource.
func (l *Lists) Backends(
	ctx context.Context, known buckthorndyke.Backends, maxAge buckthorndyke.Millis,
) (buckthorndyke.Backends, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
	defer cancel()
	q := buckthorndyke.ListQuery{Address: l.self, MaxAge: maxAge}
	if known.At > 0 {
		q.VersionTag = known.VersionTag()
	}
	began := l.clock.Now()
	got, from, err := l.askRoots(ctx, q)
	for err != nil && q.VersionTag == 0 && len(l.roots) > 0 && l.clock.Now() < began+startPatience {
		l.wait(ctx)
		got, from, err = l.askRoots(ctx, q)
	}
	switch {
	case err != nil:
		if len(l.roots) > 0 {
			l.logger.Info().EmbedObject(reporter.EventListCopied).Bool("known", false).Str("from", from).
				Int64("ms", int64(l.clock.Now()-began)).Err(err).Send()
		}
		return known, err
	case got.ReadDirectory:
		return known, errNoPeer
	case got.VersionTag == q.VersionTag:
		known.At = max(known.At, l.clock.Now()-got.Age)
		return known, nil
	case got.List.At <= known.At:
		// It may list servers that have left since.
		return known, errOlder
	}
	l.logger.Info().EmbedObject(reporter.EventListCopied).Bool("known", true).Str("from", from).
		Int("servers", got.List.Servers.Len()).Int64("age-ms", int64(got.Age)).Int64("ms", int64(l.clock.Now()-began)).Send()
	return got.List, nil
}

// askRoots asks one root after the other until one has a reply. It also returns the address
// of the last VM that was asked.
func (l *Lists) askRoots(ctx context.Context, q buckthorndyke.ListQuery) (got buckthorndyke.ListCopy, from string, err error) {
	err = errNoPeer
	for _, root := range l.roots {
		if got, from, err = l.askFrom(ctx, root, q); err == nil || ctx.Err() != nil {
			break
		}
	}
	return got, from, err
}

// wait waits until a VM may be asked again.
func (l *Lists) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.clock.After(listRetryWait):
	}
}

// askFrom asks root and the VMs that it is sent on to. It also returns the address of the
// last one.
func (l *Lists) askFrom(ctx context.Context, root string, q buckthorndyke.ListQuery) (buckthorndyke.ListCopy, string, error) {
	address, limit := root, listCallTimeout
	for {
		got, err := l.ask(ctx, address, q, limit)
		switch {
		case err != nil:
			return got, address, err
		case got.Ask != "":
			address, limit = got.Ask, listCallTimeout
			q.Hops++
		case got.VersionTag != 0 || got.ReadDirectory:
			return got, address, nil
		default:
			// The next reply may contain the list.
			limit = listCopyTimeout
			if l.wait(ctx); ctx.Err() != nil {
				return got, address, ctx.Err()
			}
		}
	}
}

// ask asks one VM.
func (l *Lists) ask(
	ctx context.Context, address string, q buckthorndyke.ListQuery, limit buckthorndyke.Millis,
) (buckthorndyke.ListCopy, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	return l.peers.ListCopy(ctx, address, q)
}
