package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/configurer"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

// SiteConfig returns the stand-ins that settings ask for.
func SiteConfig(s configurer.StandIn) standin.SiteConfig {
	cfg := standin.SiteConfig{
		Log:    standin.LogConfig{Address: s.Log.Address, RetainRecords: s.Log.RetentionRecords},
		VMList: standin.VMListConfig{Address: s.VMList.Address, Lag: s.VMList.Lag},
		WeightStore: standin.WeightStoreConfig{
			Address:         s.WeightStore.Address,
			DefaultSizeMB:   s.WeightStore.DefaultSizeMB,
			ModelsPerSecond: s.WeightStore.ModelLoadsPerSecond,
		},
	}
	for _, e := range s.EntryVMs {
		cfg.EntryVMs = append(cfg.EntryVMs, vmConfig(e.VM, e.Domain, e.Address))
	}
	for _, r := range s.Runners {
		cfg.Runners = append(cfg.Runners, standin.RunnerConfig{
			VMConfig: vmConfig(r.VM, r.Domain, r.Address),
			Engine: standin.EngineConfig{
				CachedInMemory:    r.CachedInMemory,
				CachedOnDisk:      r.CachedOnDisk,
				ChecksFence:       r.ChecksFence,
				MemoryMB:          r.MemoryMB,
				RemoteMBPerSecond: r.RemoteMBPerSecond,
				Slots:             r.Slots,
				TokenInterval:     r.TokenInterval,
			},
		})
	}
	for _, v := range s.Services {
		cfg.ServiceVMs = append(cfg.ServiceVMs, standin.ServiceConfig{
			VMConfig: vmConfig(v.VM, v.Domain, v.Address), Service: v.Service,
		})
	}
	return cfg
}

// serveSite runs the stand-ins until ctx ends.
func serveSite(ctx context.Context, s configurer.StandIn) error {
	return standin.NewSite(SiteConfig(s)).Serve(ctx)
}

func vmConfig(vm buckthorndyke.VMID, domain buckthorndyke.DomainID, address string) standin.VMConfig {
	return standin.VMConfig{Address: address, Domain: domain, ID: vm}
}
