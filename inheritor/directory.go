// Package inheritor lets a VM that starts while the platform's records cannot be
// read take over what other entry VMs know of them.
package inheritor

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// askTimeout bounds the question to the other VMs.
const askTimeout = 500 * buckthorndyke.Millisecond

// errAlone means that no other VM has answered.
var errAlone = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "no other VM knows the records")

// Directory reads by another directory. Until that has answered for the first
// time, it asks other VMs in its place. It implements buckthorndyke.Directory.
type Directory struct {
	buckthorndyke.Directory
	addresses []string
	// listed is set once the list is known, routed once the configuration is. Each is
	// used by the goroutine of one method.
	listed, routed bool
	logger         zerolog.Logger
	siblings       buckthorndyke.DirectoryPeers
}

// NewDirectory returns a directory that reads by d and asks the VMs at addresses
// while d has not answered yet.
func NewDirectory(
	d buckthorndyke.Directory, siblings buckthorndyke.DirectoryPeers, addresses []string, logger zerolog.Logger,
) *Directory {
	return &Directory{Directory: d, addresses: addresses, logger: logger, siblings: siblings}
}

// Backends implements buckthorndyke.Directory.
func (d *Directory) Backends(ctx context.Context) (buckthorndyke.Backends, error) {
	list, err := d.Directory.Backends(ctx)
	if err != nil && !d.listed {
		if k, asked := d.ask(ctx, "list of servers", err); asked == nil {
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
		if k, asked := d.ask(ctx, "configuration", err); asked == nil {
			routing, changed, err = k.Routing, true, nil
		}
	}
	d.routed = d.routed || changed
	return routing, changed, err
}

// ask asks all other VMs at once and returns the newest answer.
func (d *Directory) ask(ctx context.Context, record string, cause error) (buckthorndyke.DirectorySnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	answers := mailer.NewMailbox[answer](mailer.WithCapacity(len(d.addresses)))
	for _, address := range d.addresses {
		go func() {
			k, err := d.siblings.DirectorySnapshot(ctx, address)
			_ = answers.Send(ctx, answer{address: address, err: err, knowledge: k})
		}()
	}
	var best answer
	for range d.addresses {
		select {
		case a := <-answers.Receive():
			if a.newer(best) {
				best = a
			}
		case <-ctx.Done():
		}
	}
	line := d.logger.Warn().EmbedObject(reporter.EventDirectoryCopied).Str("record", record).AnErr("cause", cause)
	if best.address == "" {
		line.Bool("known", false).Send()
		return best.knowledge, errAlone
	}
	line.Bool("known", true).Str("from", best.address).Int64("version", best.knowledge.Routing.Version).
		Int("servers", best.knowledge.List.Servers.Len()).Int64("age-ms", int64(best.knowledge.Age)).Send()
	return best.knowledge, nil
}

// answer is what one VM has answered.
type answer struct {
	address   string
	err       error
	knowledge buckthorndyke.DirectorySnapshot
}

// newer reports whether a is an answer that is newer than b, if that is one.
func (a answer) newer(b answer) bool {
	switch {
	case a.err != nil:
		return false
	case b.address == "" || a.knowledge.Routing.Version != b.knowledge.Routing.Version:
		return b.address == "" || a.knowledge.Routing.Version > b.knowledge.Routing.Version
	default:
		return a.knowledge.Age < b.knowledge.Age
	}
}
