// Package bootstrapper lets a VM that starts while the platform's directory cannot be read
// get a copy of it from other entry VMs.
package bootstrapper

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// askTimeout bounds the calls to the other VMs.
const askTimeout = 500 * buckthorndyke.Millisecond

// readAgainWait is the time after a read of the first configuration that has timed out until
// the next one, while other VMs respond. The seeds read again at once: if the reads of all VMs
// of a large fleet exceed the store's bandwidth, repeated ones keep it exceeded.
const readAgainWait = 4 * buckthorndyke.Second

// errNoPeer means that no other VM has replied with a snapshot.
var errNoPeer = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "no other VM has a copy of the directory")

// Directory reads each record from the wrapped directory. When that fails before the
// record is known, it asks other VMs instead. It implements buckthorndyke.Directory.
type Directory struct {
	buckthorndyke.Directory
	addresses []string
	clock     buckthorndyke.Clock
	// copies has copies of large configurations, or is nil.
	copies buckthorndyke.RoutingSource
	// listed is set once the list is known, routed once the configuration is. Each is
	// used only by the goroutine that calls Backends or Routing, respectively.
	listed, routed bool
	logger         zerolog.Logger
	peers          buckthorndyke.DirectoryPeers
	// readAgainAt is the instant until which the first configuration is not read again.
	readAgainAt buckthorndyke.Millis
}

// DirectoryOption configures a Directory.
type DirectoryOption func(*Directory)

// WithRoutingCopies makes the directory wait for copies of the first configuration from s
// after a read of it has timed out, as long as other VMs respond.
func WithRoutingCopies(s buckthorndyke.RoutingSource, clock buckthorndyke.Clock) DirectoryOption {
	return func(d *Directory) { d.clock, d.copies = clock, s }
}

// NewDirectory returns a directory that reads from d, and asks the VMs at addresses while
// a record is not known and d fails.
func NewDirectory(
	d buckthorndyke.Directory, peers buckthorndyke.DirectoryPeers, addresses []string, logger zerolog.Logger,
	opts ...DirectoryOption,
) *Directory {
	out := &Directory{Directory: d, addresses: addresses, logger: logger, peers: peers}
	for _, opt := range opts {
		opt(out)
	}
	return out
}

// Backends implements buckthorndyke.Directory.
func (d *Directory) Backends(ctx context.Context) (buckthorndyke.Backends, error) {
	list, err := d.Directory.Backends(ctx)
	if err != nil && !d.listed {
		if s, askErr := d.askPeers(ctx, "list of servers", err); askErr == nil {
			list, err = s.List, nil
		}
	}
	d.listed = d.listed || err == nil
	return list, err
}

// Routing implements buckthorndyke.Directory.
func (d *Directory) Routing(ctx context.Context, wait buckthorndyke.Millis) (buckthorndyke.Routing, bool, error) {
	if d.readAgainAt > 0 && !d.routed && d.clock.Now() < d.readAgainAt {
		if routing, err := d.awaitCopy(ctx); err == nil || errors.Is(err, errNotYet) {
			return routing, err == nil, err
		}
	}
	routing, changed, err := d.Directory.Routing(ctx, wait)
	if d.copies != nil && !d.routed && errors.Is(err, context.DeadlineExceeded) {
		d.readAgainAt = d.clock.Now() + readAgainWait
		if copied, copyErr := d.awaitCopy(ctx); copyErr == nil || errors.Is(copyErr, errNotYet) {
			return copied, copyErr == nil, copyErr
		}
	}
	if err != nil && !d.routed {
		if s, askErr := d.askPeers(ctx, "configuration", err); askErr == nil {
			routing, changed, err = s.Routing, true, nil
			routing.Copied = true
		}
	}
	d.routed = d.routed || changed
	return routing, changed, err
}

// awaitCopy gets the first configuration from another VM. If none responds, the directory is
// read again at once.
func (d *Directory) awaitCopy(ctx context.Context) (buckthorndyke.Routing, error) {
	routing, err := d.copies.Routing(ctx, buckthorndyke.SeenVersion{VersionTag: 1})
	switch {
	case err == nil:
		d.routed = true
	case !errors.Is(err, errNotYet):
		d.readAgainAt = 0
	}
	return routing, err
}

// askPeers asks all other VMs concurrently and returns the newest snapshot.
func (d *Directory) askPeers(ctx context.Context, record string, cause error) (buckthorndyke.DirectorySnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	replies := mailer.NewMailbox[peerReply](mailer.WithCapacity(len(d.addresses)))
	for _, address := range d.addresses {
		go func() {
			s, err := d.peers.DirectorySnapshot(ctx, address)
			_ = replies.Send(ctx, peerReply{address: address, err: err, snapshot: s})
		}()
	}
	var best peerReply
	for range d.addresses {
		select {
		case r := <-replies.Receive():
			if r.newer(best) {
				best = r
			}
		case <-ctx.Done():
		}
	}
	event := d.logger.Warn().EmbedObject(reporter.EventDirectoryCopied).Str("record", record).AnErr("cause", cause)
	if best.address == "" {
		event.Bool("known", false).Send()
		return best.snapshot, errNoPeer
	}
	event.Bool("known", true).Str("from", best.address).Int64("version", best.snapshot.Routing.Version).
		Int("servers", best.snapshot.List.Servers.Len()).Int64("age-ms", int64(best.snapshot.Age)).Send()
	return best.snapshot, nil
}

// peerReply is the reply of one VM.
type peerReply struct {
	address  string
	err      error
	snapshot buckthorndyke.DirectorySnapshot
}

// newer reports whether r contains a snapshot and other contains none or an older one.
func (r peerReply) newer(other peerReply) bool {
	switch {
	case r.err != nil:
		return false
	case other.address == "" || r.snapshot.Routing.Version != other.snapshot.Routing.Version:
		return other.address == "" || r.snapshot.Routing.Version > other.snapshot.Routing.Version
	default:
		return r.snapshot.Age < other.snapshot.Age
	}
}
