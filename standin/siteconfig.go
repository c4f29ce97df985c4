package standin

import "github.com/buckthorndyke/buckthorndyke"

// SiteConfig configures the fakes of a site. Addresses are IP addresses with ports;
// for port 0 the system chooses a free one.
type SiteConfig struct {
	// EntryVMs are the VMs of the system itself. The site adds them to the VM list
	// but does not run them.
	EntryVMs    []VMConfig        `json:"entry-vms"`
	Log         LogConfig         `json:"log"`
	Runners     []RunnerConfig    `json:"runners"`
	ServiceVMs  []ServiceConfig   `json:"service-vms"`
	VMList      VMListConfig      `json:"vm-list"`
	WeightStore WeightStoreConfig `json:"weight-store"`
}

// VMConfig is the entry of a VM in the VM list.
type VMConfig struct {
	Address string                 `json:"address"`
	Domain  buckthorndyke.DomainID `json:"domain"`
	ID      buckthorndyke.VMID     `json:"id"`
}

// vm returns the entry of the VM list for a VM with the given role and address.
func (c VMConfig) vm(role buckthorndyke.Role, address string) buckthorndyke.VM {
	return buckthorndyke.VM{Address: address, Domain: c.Domain, ID: c.ID, Role: role}
}

// LogConfig configures the log service.
type LogConfig struct {
	Address string `json:"address"`
	// RetainRecords is the number of newest records that each stream keeps, or 0 to
	// keep all.
	RetainRecords int `json:"retain-records"`
}

// RunnerConfig configures a runner.
type RunnerConfig struct {
	VMConfig
	Engine EngineConfig `json:"engine"`
}

// ServiceConfig configures a VM of a plain service.
type ServiceConfig struct {
	VMConfig
	Service buckthorndyke.ServiceID `json:"service"`
}

// VMListConfig configures the VM list.
type VMListConfig struct {
	Address string `json:"address"`
	// Lag is the time after which a change of the list is visible.
	Lag buckthorndyke.Millis `json:"lag-ms"`
}

// WeightStoreConfig configures the weight store.
type WeightStoreConfig struct {
	Address     string             `json:"address"`
	Checkpoints []CheckpointConfig `json:"checkpoints"`
	// DefaultSizeMB is the size of all other checkpoints, or 0 for the default.
	DefaultSizeMB int `json:"default-size-mb"`
	// ModelsPerSecond is the number of model loads that start per second, or 0 for
	// the default.
	ModelsPerSecond int `json:"models-per-second"`
}

// CheckpointConfig is the size of one checkpoint.
type CheckpointConfig struct {
	Model  buckthorndyke.ModelID `json:"model"`
	SizeMB int                   `json:"size-mb"`
}

// options returns the store's options.
func (c WeightStoreConfig) options() []StoreOption {
	var opts []StoreOption
	for _, checkpoint := range c.Checkpoints {
		opts = append(opts, WithCheckpoints(buckthorndyke.Checkpoint{Model: checkpoint.Model, SizeMB: checkpoint.SizeMB}))
	}
	if c.DefaultSizeMB > 0 {
		opts = append(opts, WithDefaultSize(c.DefaultSizeMB))
	}
	if c.ModelsPerSecond > 0 {
		opts = append(opts, WithModelRate(c.ModelsPerSecond))
	}
	return opts
}
