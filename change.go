package buckthorndyke

// Proposal is a record of the control stream. Whether it is accepted depends
// only on the state that the records before it have made.
type Proposal struct {
	Change      Change
	ID          ProposalID
	Incarnation Incarnation
	// Proposer is the VM that appended the record, or empty for an operator.
	Proposer VMID
}

// Change is what a proposal asks for. Each change names the version of what it
// is based on and is rejected if that is no longer current.
type Change interface {
	change()
}

// Changes.
type (
	// CheckpointChange carries the whole state, so that older records need not
	// be kept.
	CheckpointChange struct {
		State State
	}

	// FreeSlotChange frees a withdrawn slot after the eviction was confirmed.
	FreeSlotChange struct {
		// Epoch is the epoch of the runner's owner, who alone can confirm it.
		Epoch  Offset
		Model  ModelID
		Runner RunnerID
	}

	// JoinChange adds a member or starts its next life.
	JoinChange struct {
		Member Member
	}

	// LeaveChange removes a life of a member, or marks it as leaving.
	LeaveChange struct {
		// Draining only marks the member, which keeps what it owns.
		Draining    bool
		Incarnation Incarnation
		VM          VMID
	}

	// PermitChange permits a model on runners, in addition to those that it is
	// permitted on. It is accepted or rejected as a whole.
	PermitChange struct {
		// Base is the version of the placement, or NoOffset if there is none.
		Base    Offset
		Model   ModelID
		Runners []RunnerID
	}

	// QuarantineChange stops a request that crashes runners.
	QuarantineChange struct {
		Crashes     int
		Fingerprint Fingerprint
		Model       ModelID
	}

	// ReleaseChange gives up the ownership of a runner, to Heir if that is set.
	// An owner that was succeeded proposes it with its own epoch once none of its
	// orders is outstanding.
	ReleaseChange struct {
		Epoch     Offset
		NextOwner VMID
		Runner    RunnerID
	}

	// RulesChange replaces the rules.
	RulesChange struct {
		// Base is the version of the rules that the change was made from.
		Base Offset
		// Operator names the operator.
		Operator string
		Text     string
	}

	// TakeChange makes a VM the owner of a runner.
	TakeChange struct {
		// Base is the current epoch, or NoOffset if the runner was never owned.
		Base      Offset
		Ownership Ownership
	}

	// UnknownChange is a change that this version of the program cannot read.
	UnknownChange struct {
		Data []byte
	}

	// WithdrawChange withdraws the permission of a model on a runner.
	WithdrawChange struct {
		Base   Offset
		Model  ModelID
		Runner RunnerID
	}
)

func (CheckpointChange) change() {}
func (FreeSlotChange) change()   {}
func (JoinChange) change()       {}
func (LeaveChange) change()      {}
func (PermitChange) change()     {}
func (QuarantineChange) change() {}
func (ReleaseChange) change()    {}
func (RulesChange) change()      {}
func (TakeChange) change()       {}
func (UnknownChange) change()    {}
func (WithdrawChange) change()   {}

// ProposalResult is the outcome of a proposal. Every process reaches the same.
type ProposalResult struct {
	Accepted bool
	ID       ProposalID
	Offset   Offset
	// Reason says why a proposal was rejected.
	Reason string
}

// Encoder turns proposals into records and back.
type Encoder interface {
	// DecodeProposal returns the proposal in a record. A kind of change that is
	// not known yields an UnknownChange and no error.
	DecodeProposal(data []byte) (Proposal, error)
	// EncodeProposal returns the record of a proposal.
	EncodeProposal(p Proposal) ([]byte, error)
}
