package standin

import "github.com/buckthorndyke/buckthorndyke/configurer"

// SiteConfigOf returns the site config for the settings s.
func SiteConfigOf(s configurer.StandIn) SiteConfig {
	cfg := SiteConfig{
		Log:    LogConfig{Address: s.Log.Address, RetainRecords: s.Log.RetentionRecords},
		VMList: VMListConfig{Address: s.VMList.Address, Lag: s.VMList.Lag},
		WeightStore: WeightStoreConfig{
			Address:         s.WeightStore.Address,
			DefaultSizeMB:   s.WeightStore.DefaultSizeMB,
			ModelsPerSecond: s.WeightStore.ModelLoadsPerSecond,
		},
	}
	for _, vm := range s.EntryVMs {
		cfg.EntryVMs = append(cfg.EntryVMs, VMConfig{Address: vm.Address, Domain: vm.Domain, ID: vm.VM})
	}
	for _, r := range s.Runners {
		cfg.Runners = append(cfg.Runners, runnerConfigOf(r))
	}
	for _, service := range s.Services {
		cfg.ServiceVMs = append(cfg.ServiceVMs, ServiceConfig{
			Service:  service.Service,
			VMConfig: VMConfig{Address: service.Address, Domain: service.Domain, ID: service.VM},
		})
	}
	return cfg
}

func runnerConfigOf(r configurer.StandInRunner) RunnerConfig {
	return RunnerConfig{
		Engine: EngineConfig{
			CachedInMemory:     r.CachedInMemory,
			CachedOnDisk:       r.CachedOnDisk,
			ChecksFencingToken: r.ChecksFencingToken,
			MemoryMB:           r.MemoryMB,
			RemoteMBPerSecond:  r.RemoteMBPerSecond,
			Slots:              r.Slots,
			TokenInterval:      r.TokenInterval,
		},
		VMConfig: VMConfig{Address: r.Address, Domain: r.Domain, ID: r.VM},
	}
}
