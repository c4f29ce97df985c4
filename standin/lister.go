package standin

import (
	"context"
	"errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// lister is the task that fills the VM list of a site once the site's servers
// listen, and then replies to requests for their addresses.
type lister struct {
	requests *mailer.Mailbox[mailer.Reply[SiteAddresses]]
	site     *Site
}

// Serve implements suture.Service.
func (l *lister) Serve(ctx context.Context) error {
	addresses, err := l.addresses(ctx)
	if err != nil {
		return err
	}
	if err := l.site.list.Set(ctx, l.vms(addresses)); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case reply := <-l.requests.Receive():
			reply.Answer(addresses)
		}
	}
}

// addresses waits until all servers listen and returns their addresses.
func (l *lister) addresses(ctx context.Context) (SiteAddresses, error) {
	s := l.site
	a := SiteAddresses{Runners: make([]string, len(s.runners)), ServiceVMs: make([]string, len(s.services))}
	err := errors.Join(
		awaitAddress(ctx, &s.log.httpServer, &a.Log),
		awaitAddress(ctx, &s.vmList.httpServer, &a.VMList),
		awaitAddress(ctx, &s.weights.httpServer, &a.WeightStore),
	)
	for i, r := range s.runners {
		err = errors.Join(err, awaitAddress(ctx, &r.httpServer, &a.Runners[i]))
	}
	for i, service := range s.services {
		err = errors.Join(err, awaitAddress(ctx, &service.httpServer, &a.ServiceVMs[i]))
	}
	return a, err
}

// vms returns the VMs of the site, whose servers listen on the addresses a.
func (l *lister) vms(a SiteAddresses) []buckthorndyke.VM {
	var vms []buckthorndyke.VM
	for _, cfg := range l.site.cfg.EntryVMs {
		vms = append(vms, cfg.vm(buckthorndyke.RoleEntry, cfg.Address))
	}
	for i, cfg := range l.site.cfg.Runners {
		vms = append(vms, cfg.vm(buckthorndyke.RoleRunner, a.Runners[i]))
	}
	for i, cfg := range l.site.cfg.ServiceVMs {
		vm := cfg.vm(buckthorndyke.RoleService, a.ServiceVMs[i])
		vm.Service = cfg.Service
		vms = append(vms, vm)
	}
	return vms
}

// awaitAddress waits until server listens and stores its bound address.
func awaitAddress(ctx context.Context, server *httpServer, address *string) error {
	var err error
	*address, err = server.Address(ctx)
	return err
}
