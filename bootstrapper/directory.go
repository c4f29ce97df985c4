// Package bootstrapper lets a VM that starts while the platform's directory cannot be read
// get a copy of it from other entry VMs.
package bootstrapper

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// askTimeout bounds the calls to the other VMs.
const askTimeout = 500 * buckthorndyke.Millisecond

// errNoPeer means that no other VM has replied with a snapshot.
var errNoPeer = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "no other VM has a copy of the directory")

// Directory reads each record from the wrapped directory. When that fails before the
// record is known, it asks other VMs instead. It implements buckthorndyke.Directory.
type Directory struct {
	buckthorndyke.Directory
	addresses []string
	// listed is set once the list is known, routed once the configuration is. Each is
	// used only by the goroutine that calls Backends or Routing, respectively.
	listed, routed bool
	logger         zerolog.Logger
	peers          buckthorndyke.DirectoryPeers
}

// NewDirectory returns a directory that reads from d, and asks the VMs at addresses while
// a record is not known and d fails.
func NewDirectory(
	d buckthorndyke.Directory, peers buckthorndyke.DirectoryPeers, addresses []string, logger zerolog.Logger,
) *Directory {
	return &Directory{Directory: d, addresses: addresses, logger: logger, peers: peers}
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
	routing, changed, err := d.Directory.Routing(ctx, wait)
	if err != nil && !d.routed {
		if s, askErr := d.askPeers(ctx, "configuration", err); askErr == nil {
			routing, changed, err = s.Routing, true, nil
			routing.Copied = true
		}
	}
	d.routed = d.routed || changed
	return routing, changed, err
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
