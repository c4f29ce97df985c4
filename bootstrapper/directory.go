// Package bootstrapper lets a VM that starts while the platform's records cannot be
// read take over what other entry VMs know of them.
package bootstrapper

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// askTimeout bounds the question to the other VMs.
const askTimeout = 500 * buckthorndyke.Millisecond

// errNoPeer means that no other VM has answered.
var errNoPeer = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "no other VM knows the records")

// Directory reads by another directory. Until that has answered for the first
// time, it asks other VMs in its place. It implements buckthorndyke.Directory.
type Directory struct {
	buckthorndyke.Directory
	addresses []string
	// listed is set once the list is known, routed once the configuration is. Each is
	// used by the goroutine of one method.
	listed, routed bool
	logger         zerolog.Logger
	peers          buckthorndyke.DirectoryPeers
}

// NewDirectory returns a directory that reads by d and asks the VMs at addresses
// while d has not answered yet.
func NewDirectory(
	d buckthorndyke.Directory, siblings buckthorndyke.DirectoryPeers, addresses []string, logger zerolog.Logger,
) *Directory {
	return &Directory{Directory: d, addresses: addresses, logger: logger, peers: siblings}
}

// Backends implements buckthorndyke.Directory.
func (d *Directory) Backends(ctx context.Context) (buckthorndyke.Backends, error) {
	list, err := d.Directory.Backends(ctx)
	if err != nil && !d.listed {
		if k, asked := d.askPeers(ctx, "list of servers", err); asked == nil {
			list, err = k.List, nil
		}
	}
	d.listed = d.listed || err == nil
	return list, err
}

// Routing implements buckthorndyke.Directory.
func (d *Directory) Routing(ctx context.Context, wait buckthorndyke.Millis) (buckthorndyke.Routing, bool, error) {
	routing, changed, err := d.Directory.Routing(ctx, wait)
	if err != nil && !d.routed {
		if k, asked := d.askPeers(ctx, "configuration", err); asked == nil {
			routing, changed, err = k.Routing, true, nil
		}
	}
	d.routed = d.routed || changed
	return routing, changed, err
}

// askPeers asks all other VMs at once and returns the newest answer.
func (d *Directory) askPeers(ctx context.Context, record string, cause error) (buckthorndyke.DirectorySnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	answers := mailer.NewMailbox[peerReply](mailer.WithCapacity(len(d.addresses)))
	for _, address := range d.addresses {
		go func() {
			k, err := d.peers.DirectorySnapshot(ctx, address)
			_ = answers.Send(ctx, peerReply{address: address, err: err, snapshot: k})
		}()
	}
	var best peerReply
	for range d.addresses {
		select {
		case a := <-answers.Receive():
			if a.newer(best) {
				best = a
			}
		case <-ctx.Done():
		}
	}
	line := d.logger.Warn().EmbedObject(reporter.EventKnowledgeInherited).Str("record", record).AnErr("cause", cause)
	if best.address == "" {
		line.Bool("known", false).Send()
		return best.snapshot, errNoPeer
	}
	line.Bool("known", true).Str("from", best.address).Int64("version", best.snapshot.Routing.Version).
		Int("servers", best.snapshot.List.Servers.Len()).Int64("age-ms", int64(best.snapshot.Age)).Send()
	return best.snapshot, nil
}

// peerReply is what one VM has answered.
type peerReply struct {
	address  string
	err      error
	snapshot buckthorndyke.DirectorySnapshot
}

// newer reports whether a is an answer that is newer than b, if that is one.
func (a peerReply) newer(b peerReply) bool {
	switch {
	case a.err != nil:
		return false
	case b.address == "" || a.snapshot.Routing.Version != b.snapshot.Routing.Version:
		return b.address == "" || a.snapshot.Routing.Version > b.snapshot.Routing.Version
	default:
		return a.snapshot.Age < b.snapshot.Age
	}
}
