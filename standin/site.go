package standin

import (
	"context"

	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// Site supervises a complete set of fakes and their HTTP servers: log service, VM
// list, weight store, runners and plain services.
type Site struct {
	cfg        SiteConfig
	clock      buckthorndyke.Clock
	list       *MemoryVMList
	lister     *lister
	log        *LogServer
	runners    []*EngineServer
	services   []*ServiceServer
	supervisor *suture.Supervisor
	vmList     *VMListServer
	weights    *WeightStoreServer
}

// SiteAddresses are the addresses that a site's servers listen on. Those of runners
// and plain services are in the order of its config.
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

// WithClock sets the clock of the fakes. By default it is the real clock.
func WithClock(clock buckthorndyke.Clock) SiteOption {
	return func(o *siteOptions) { o.clock = clock }
}

// WithEventHook sets the function that receives the events of the site's
// supervisor, such as restarts of tasks.
func WithEventHook(hook suture.EventHook) SiteOption {
	return func(o *siteOptions) { o.spec.EventHook = hook }
}

// NewSite returns a site for cfg. Serve starts it.
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
	s.lister = &lister{requests: mailer.NewMailbox[mailer.Reply[SiteAddresses]](), site: s}
	s.add(s.lister)
	return s
}

// Addresses waits until all servers listen and the VM list is filled, and returns
// the servers' addresses.
func (s *Site) Addresses(ctx context.Context) (SiteAddresses, error) {
	return mailer.Ask(ctx, s.lister.requests, func(r mailer.Reply[SiteAddresses]) mailer.Reply[SiteAddresses] { return r })
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

// addRunners adds the runners' engines, which load from store, and their servers.
func (s *Site) addRunners(store *MemoryWeightStore) {
	for _, cfg := range s.cfg.Runners {
		engine := NewMemoryEngine(s.clock, store, cfg.Engine)
		server := NewEngineServer(cfg.Address, engine)
		s.runners = append(s.runners, server)
		s.add(engine, server)
	}
}

// addServices adds the servers of plain services. Those of one service share a
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
