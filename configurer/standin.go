package configurer

import (
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
)

// Defaults and maximums of the settings of the stand-ins.
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

// StandIn holds the settings of the stand-ins: simulated services of the platform,
// model runners and plain services for demos and tests. It is immutable.
type StandIn struct {
	EntryVMs []StandInEntryVM
	Log      StandInLog
	// Runners lists the model runners.
	Runners     []StandInRunner
	Services    []StandInService
	VMList      StandInVMList
	WeightStore StandInWeightStore
}

// StandInEntryVM is an entry VM in the VM list. The stand-ins only list it; they do
// not simulate it.
type StandInEntryVM struct {
	Address string
	Domain  buckthorndyke.DomainID
	VM      buckthorndyke.VMID
}

// StandInLog holds the settings of the simulated log service.
type StandInLog struct {
	Address string
	// RetentionRecords is the number of records that each stream retains.
	RetentionRecords int
}

// StandInRunner holds the settings of a simulated model runner.
type StandInRunner struct {
	Address string
	// CachedInMemory and CachedOnDisk list the models whose checkpoints need not be
	// loaded from the weight store.
	CachedInMemory     []buckthorndyke.ModelID
	CachedOnDisk       []buckthorndyke.ModelID
	ChecksFencingToken bool
	Domain             buckthorndyke.DomainID
	MemoryMB           int
	// RemoteMBPerSecond is the speed of loads from the weight store, or 0 for the
	// default of the stand-in.
	RemoteMBPerSecond int
	// Slots is the number of requests that the runner processes in one batch.
	Slots int
	// TokenInterval is the time between two output tokens, or 0 for the default of the
	// stand-in.
	TokenInterval buckthorndyke.Millis
	VM            buckthorndyke.VMID
}

// StandInService holds the settings of a simulated backend server of a plain service.
type StandInService struct {
	Address string
	Domain  buckthorndyke.DomainID
	Service buckthorndyke.ServiceID
	VM      buckthorndyke.VMID
}

// StandInVMList holds the settings of the simulated VM list.
type StandInVMList struct {
	Address string
	// Lag is the delay with which changes appear in the list.
	Lag buckthorndyke.Millis
}

// StandInWeightStore holds the settings of the simulated weight store.
type StandInWeightStore struct {
	Address string
	// DefaultSizeMB is the size of a checkpoint in MB, or 0 for the default of the
	// stand-in.
	DefaultSizeMB       int
	ModelLoadsPerSecond int
}

// ParseStandIn parses the settings of the stand-ins. Its error is a
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

// models returns the model IDs in the array under key.
func (o object) models(key string) []buckthorndyke.ModelID {
	var models []buckthorndyke.ModelID
	for _, name := range o.names(key) {
		models = append(models, buckthorndyke.ModelID(name))
	}
	return models
}

// uniqueVM returns the name of the VM and adds it to vms. It reports a name that vms
// already contains.
func (o object) uniqueVM(vms map[string]bool) buckthorndyke.VMID {
	name := o.name("vm")
	if name == "" {
		return ""
	}
	if vms[name] {
		o.d.report(o.members["vm"].Value.StartOffset, buckthorndyke.FaultDuplicate,
			fmt.Sprintf("the VM %q is listed twice", name), "remove or rename one of them")
	}
	vms[name] = true
	return buckthorndyke.VMID(name)
}
