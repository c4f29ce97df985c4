package standin

import "github.com/buckthorndyke/buckthorndyke"

// SiteConfig says which stand-ins a site has. Addresses are IP addresses and
// ports; with port 0 the system chooses one.
type SiteConfig struct {
	// EntryVMs are the VMs of the system itself. The site only lists them.
	EntryVMs    []VMConfig        `json:"entry-vms"`
	Log         LogConfig         `json:"log"`
	Runners     []RunnerConfig    `json:"runners"`
	ServiceVMs  []ServiceConfig   `json:"service-vms"`
	VMList      VMListConfig      `json:"vm-list"`
	WeightStore WeightStoreConfig `json:"weight-store"`
}

// VMConfig says what the VM list shows of a VM.
type VMConfig struct {
	Address string                 `json:"address"`
	Domain  buckthorndyke.DomainID `json:"domain"`
	ID      buckthorndyke.VMID     `json:"id"`
}

// vm returns the line of the VM list for a VM at address.
func (c VMConfig) vm(role buckthorndyke.Role, address string) buckthorndyke.VM {
	return buckthorndyke.VM{Address: address, Domain: c.Domain, ID: c.ID, Role: role}
}

// LogConfig says how the log service behaves.
type LogConfig struct {
	Address string `json:"address"`
	// RetainRecords is the number of records that each stream keeps, or 0 for all.
	RetainRecords int `json:"retain-records"`
}

// RunnerConfig says how a runner behaves.
type RunnerConfig struct {
	VMConfig
	Engine EngineConfig `json:"engine"`
}

// ServiceConfig says which plain service a VM serves.
type ServiceConfig struct {
	VMConfig
	Service buckthorndyke.ServiceID `json:"service"`
}

// VMListConfig says how the VM list behaves.
type VMListConfig struct {
	Address string `json:"address"`
	// Lag is how late a change shows.
	Lag buckthorndyke.Millis `json:"lag-ms"`
}

// WeightStoreConfig says how the weight store behaves.
type WeightStoreConfig struct {
	Address     string             `json:"address"`
	Checkpoints []CheckpointConfig `json:"checkpoints"`
	// DefaultSizeMB is the size of all other checkpoints, or 0 for the default.
	DefaultSizeMB int `json:"default-size-mb"`
	// ModelsPerSecond is the number of models that start to load in a second, or
	// 0 for the default.
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
