package configurer

import (
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
)

// Defaults and ranges of the settings of the stand-ins.
const (
	defaultRunnerMemoryMB   = 24_000
	defaultRetentionRecords = 100_000
	defaultRunnerSlots      = 8
	maxLag                  = buckthorndyke.Minute
	maxRetentionRecords     = 10_000_000
	maxRunnerMemoryMB       = 2 << 20
	maxRunnerSlots          = 1024
	maxTokenInterval        = 10 * buckthorndyke.Second
)

// StandIn holds the settings of the stand-ins of the platform, the runners and
// the plain services. It is immutable.
type StandIn struct {
	EntryVMs []StandInEntryVM
	Log      StandInLog
	// Runners are the model runners.
	Runners     []StandInRunner
	Services    []StandInService
	VMList      StandInVMList
	WeightStore StandInWeightStore
}

// StandInEntryVM is an entry VM on the VM list.
type StandInEntryVM struct {
	Address string
	Domain  buckthorndyke.DomainID
	VM      buckthorndyke.VMID
}

// StandInLog holds the settings of the log service.
type StandInLog struct {
	Address string
	// RetentionRecords is the number of records that a stream keeps.
	RetentionRecords int
}

// StandInRunner is a model runner.
type StandInRunner struct {
	Address string
	// CachedInMemory and CachedOnDisk list the checkpoints that need not come
	// from the weight store.
	CachedInMemory     []buckthorndyke.ModelID
	CachedOnDisk       []buckthorndyke.ModelID
	ChecksFencingToken bool
	Domain             buckthorndyke.DomainID
	MemoryMB           int
	// RemoteMBPerSecond is the speed of loads from the weight store, or 0 for the
	// default.
	RemoteMBPerSecond int
	// Slots is the number of requests that the runner batches.
	Slots int
	// TokenInterval is the time between two tokens, or 0 for the default.
	TokenInterval buckthorndyke.Millis
	VM            buckthorndyke.VMID
}

// StandInService is a plain service's backend server.
type StandInService struct {
	Address string
	Domain  buckthorndyke.DomainID
	Service buckthorndyke.ServiceID
	VM      buckthorndyke.VMID
}

// StandInVMList holds the settings of the VM list.
type StandInVMList struct {
	Address string
	// Lag is how far the list lags behind.
	Lag buckthorndyke.Millis
}

// StandInWeightStore holds the settings of the weight store.
type StandInWeightStore struct {
	Address string
	// DefaultSizeMB is the size of a checkpoint, or 0 for the default.
	DefaultSizeMB       int
	ModelLoadsPerSecond int
}

// ParseStandIn returns the settings of the stand-ins in data. Its error is a
// *buckthorndyke.FaultsError that holds all faults.
func ParseStandIn(data []byte) (StandIn, error) {
	d := &document{data: data}
	root := d.parse()
	s := StandIn{
		Log:         root.standInLog(),
		VMList:      root.standInVMList(),
		WeightStore: root.standInWeightStore(),
	}
	vms := make(map[string]bool)
	for _, o := range root.objects("entry-vms") {
		s.EntryVMs = append(s.EntryVMs, o.standInEntryVM(vms))
	}
	for _, o := range root.objects("runners") {
		s.Runners = append(s.Runners, o.standInRunner(vms))
	}
	for _, o := range root.objects("services") {
		s.Services = append(s.Services, o.standInService(vms))
	}
	root.reportUnknownKeys()
	if err := buckthorndyke.NewFaults(d.faults); err != nil {
		return StandIn{}, err
	}
	return s, nil
}

func (o object) standInEntryVM(vms map[string]bool) StandInEntryVM {
	defer o.reportUnknownKeys()
	return StandInEntryVM{
		Address: o.address(addressRemote),
		Domain:  buckthorndyke.DomainID(o.name("failure-domain")),
		VM:      o.uniqueVM(vms),
	}
}

func (o object) standInLog() StandInLog {
	section := o.object("log", true)
	defer section.reportUnknownKeys()
	return StandInLog{
		Address:          section.address(addressListen),
		RetentionRecords: section.integer("retention-records", defaultRetentionRecords, 1, maxRetentionRecords),
	}
}

func (o object) standInRunner(vms map[string]bool) StandInRunner {
	defer o.reportUnknownKeys()
	return StandInRunner{
		Address:            o.address(addressListen),
		CachedInMemory:     o.models("cached-in-memory"),
		CachedOnDisk:       o.models("cached-on-disk"),
		ChecksFencingToken: o.boolean("checks-fence", true),
		Domain:             buckthorndyke.DomainID(o.name("failure-domain")),
		MemoryMB:           o.integer("memory-mb", defaultRunnerMemoryMB, 1, maxRunnerMemoryMB),
		RemoteMBPerSecond:  o.integer("remote-mb-per-second", 0, 0, maxRunnerMemoryMB),
		Slots:              o.integer("slots", defaultRunnerSlots, 1, maxRunnerSlots),
		TokenInterval:      o.millis("token-interval-ms", 0, 0, maxTokenInterval),
		VM:                 o.uniqueVM(vms),
	}
}

func (o object) standInService(vms map[string]bool) StandInService {
	defer o.reportUnknownKeys()
	return StandInService{
		Address: o.address(addressListen),
		Domain:  buckthorndyke.DomainID(o.name("failure-domain")),
		Service: buckthorndyke.ServiceID(o.name("service")),
		VM:      o.uniqueVM(vms),
	}
}

func (o object) standInVMList() StandInVMList {
	section := o.object("vm-list", true)
	defer section.reportUnknownKeys()
	return StandInVMList{
		Address: section.address(addressListen),
		Lag:     section.millis("lag-ms", 0, 0, maxLag),
	}
}

func (o object) standInWeightStore() StandInWeightStore {
	section := o.object("weight-store", true)
	defer section.reportUnknownKeys()
	return StandInWeightStore{
		Address:             section.address(addressListen),
		DefaultSizeMB:       section.integer("default-size-mb", 0, 0, maxRunnerMemoryMB),
		ModelLoadsPerSecond: section.integer("model-loads-per-second", defaultModelLoadsPerSecond, 1, maxLoads),
	}
}

// models returns the names of models in the array under key.
func (o object) models(key string) []buckthorndyke.ModelID {
	var models []buckthorndyke.ModelID
	for _, name := range o.names(key) {
		models = append(models, buckthorndyke.ModelID(name))
	}
	return models
}

// uniqueVM returns the name of a VM that must not be among vms, and adds it.
func (o object) uniqueVM(vms map[string]bool) buckthorndyke.VMID {
	name := o.name("vm")
	if name == "" {
		return ""
	}
	if vms[name] {
		o.d.report(o.members["vm"].Value.StartOffset, buckthorndyke.FaultDuplicate,
			fmt.Sprintf("the VM %q is listed twice", name), "keep one or rename one")
	}
	vms[name] = true
	return buckthorndyke.VMID(name)
}
