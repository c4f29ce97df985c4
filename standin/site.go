package standin

import (
	"context"
	"errors"

	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// Site supervises the stand-ins of a whole site on loopback: log service, VM
// list, weight store, runners and plain services.
type Site struct {
	cfg        SiteConfig
	clock      buckthorndyke.Clock
	list       *MemoryVMList
	log        *LogServer
	runners    []*EngineServer
	services   []*ServiceServer
	supervisor *suture.Supervisor
	vmList     *VMListServer
	weights    *WeightStoreServer
}

// SiteAddresses are the addresses that a site has bound. Those of runners and
// plain services are in the order of its config.
type SiteAddresses struct {
	Log         string   `json:"log"`
	Runners     []string `json:"runners"`
	ServiceVMs  []string `json:"service-vms"`
	VMList      string   `json:"vm-list"`
	WeightStore string   `json:"weight-store"`
}

// SiteOption configures a Site.
type SiteOption func(*siteOptions)

type siteOptions struct {
	clock buckthorndyke.Clock
	spec  suture.Spec
}

// WithClock sets the clock of the stand-ins.
func WithClock(clock buckthorndyke.Clock) SiteOption {
	return func(o *siteOptions) { o.clock = clock }
}

// WithEventHook makes the site report restarts of its tasks.
func WithEventHook(hook suture.EventHook) SiteOption {
	return func(o *siteOptions) { o.spec.EventHook = hook }
}

// NewSite returns a site that starts with Serve.
func NewSite(cfg SiteConfig, opts ...SiteOption) *Site {
	o := siteOptions{clock: timekeeper.NewRealClock(), spec: suture.Spec{EventHook: func(suture.Event) {}}}
	for _, opt := range opts {
		opt(&o)
	}
	clock := o.clock
	s := &Site{cfg: cfg, clock: clock, supervisor: suture.New("site", o.spec)}
	log := NewMemoryLog(clock, WithRetention(cfg.Log.RetainRecords))
	s.log = NewLogServer(cfg.Log.Address, log)
	s.list = NewMemoryVMList(clock, WithLag(cfg.VMList.Lag))
	s.vmList = NewVMListServer(cfg.VMList.Address, s.list)
	store := NewMemoryWeightStore(clock, cfg.WeightStore.options()...)
	s.weights = NewWeightStoreServer(cfg.WeightStore.Address, store)
	s.add(log, s.log, s.list, s.vmList, store, s.weights)
	s.addRunners(store)
	s.addServices()
	s.add(suture.Service(lister{site: s}))
	return s
}

// Addresses returns the addresses that the site has bound, once it has.
func (s *Site) Addresses(ctx context.Context) (SiteAddresses, error) {
	var a SiteAddresses
	err := errors.Join(
		bound(ctx, &s.log.httpServer, &a.Log),
		bound(ctx, &s.vmList.httpServer, &a.VMList),
		bound(ctx, &s.weights.httpServer, &a.WeightStore),
	)
	a.Runners = make([]string, len(s.runners))
	for i, r := range s.runners {
		err = errors.Join(err, bound(ctx, &r.httpServer, &a.Runners[i]))
	}
	a.ServiceVMs = make([]string, len(s.services))
	for i, service := range s.services {
		err = errors.Join(err, bound(ctx, &service.httpServer, &a.ServiceVMs[i]))
	}
	return a, err
}

// Serve runs the site until ctx ends. It implements suture.Service.
func (s *Site) Serve(ctx context.Context) error {
	return s.supervisor.Serve(ctx)
}

// add adds tasks to the supervisor.
func (s *Site) add(tasks ...suture.Service) {
	for _, t := range tasks {
		s.supervisor.Add(t)
	}
}

// addRunners adds the runners, which load from store.
func (s *Site) addRunners(store *MemoryWeightStore) {
	for _, cfg := range s.cfg.Runners {
		engine := NewMemoryEngine(s.clock, store, cfg.Engine)
		server := NewEngineServer(cfg.Address, engine)
		s.runners = append(s.runners, server)
		s.add(engine, server)
	}
}

// addServices adds the VMs of plain services. Those of one service share a
// journal.
func (s *Site) addServices() {
	services := make(map[buckthorndyke.ServiceID]*MemoryService)
	for _, cfg := range s.cfg.ServiceVMs {
		service, ok := services[cfg.Service]
		if !ok {
			service = NewMemoryService(s.clock)
			services[cfg.Service] = service
			s.add(service)
		}
		server := NewServiceServer(cfg.Address, cfg.Service, service)
		s.services = append(s.services, server)
		s.add(server)
	}
}

// vms returns the VMs of the site, which has bound the given addresses.
func (s *Site) vms(a SiteAddresses) []buckthorndyke.VM {
	var vms []buckthorndyke.VM
	for _, cfg := range s.cfg.EntryVMs {
		vms = append(vms, cfg.vm(buckthorndyke.RoleEntry, cfg.Address))
	}
	for i, cfg := range s.cfg.Runners {
		vms = append(vms, cfg.vm(buckthorndyke.RoleRunner, a.Runners[i]))
	}
	for i, cfg := range s.cfg.ServiceVMs {
		vm := cfg.vm(buckthorndyke.RoleService, a.ServiceVMs[i])
		vm.Service = cfg.Service
		vms = append(vms, vm)
	}
	return vms
}

// vm returns the line of the VM list for a VM at address.
func (c VMConfig) vm(role buckthorndyke.Role, address string) buckthorndyke.VM {
	return buckthorndyke.VM{Address: address, Domain: c.Domain, ID: c.ID, Role: role}
}

// lister fills the VM list once the site has bound its addresses.
type lister struct {
	site *Site
}

// Serve implements suture.Service.
func (l lister) Serve(ctx context.Context) error {
	addresses, err := l.site.Addresses(ctx)
	if err != nil {
		return err
	}
	if err := l.site.list.Set(ctx, l.site.vms(addresses)); err != nil {
		return err
	}
	return suture.ErrDoNotRestart
}

// bound stores the address that server has bound, once it has.
func bound(ctx context.Context, server *httpServer, address *string) error {
	var err error
	*address, err = server.Address(ctx)
	return err
}
