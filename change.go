package buckthorndyke

// Proposal is a record of the control stream that asks for a change of the state.
// Whether it is accepted depends only on the records before it.
type Proposal struct {
	Change      Change
	ID          ProposalID
	Incarnation Incarnation
	// Proposer is the VM that appended the record, or empty if an operator did.
	Proposer VMID
}

// Change is the change that a proposal asks for. Changes carry the version of the
// data that they are based on, and are rejected if it is no longer current.
type Change interface {
	change()
}

// Kinds of changes.
type (
	// CheckpointChange carries the complete state, so that older records can be
	// deleted.
	CheckpointChange struct {
		State State
	}

	// FreeSlotChange removes a withdrawn slot once the runner has confirmed that
	// the model is unloaded.
	FreeSlotChange struct {
		// Epoch is that of the runner's owner. Only the current owner can confirm
		// that the model is unloaded.
		Epoch  Offset
		Model  ModelID
		Runner RunnerID
	}

	// JoinChange adds a member, or replaces it with its next incarnation after a
	// restart.
	JoinChange struct {
		Member Member
	}

	// LeaveChange removes an incarnation of a member, or marks it as leaving.
	LeaveChange struct {
		// Draining marks the member as leaving without removing it. It keeps the
		// runners that it owns.
		Draining    bool
		Incarnation Incarnation
		VM          VMID
	}

	// PermitChange permits a model on further runners. It is accepted or rejected
	// as a whole.
	PermitChange struct {
		// Base is the version of the model's placement, or NoOffset if there is none.
		Base    Offset
		Model   ModelID
		Runners []RunnerID
	}

	// QuarantineChange blocks a request that has crashed runners.
	QuarantineChange struct {
		Crashes     int
		Fingerprint Fingerprint
		Model       ModelID
	}

	// ReleaseChange gives up the ownership of a runner, or passes it to NextOwner
	// if that is set. A VM whose runner was taken over proposes it with its own
	// epoch, once none of its orders is outstanding.
	ReleaseChange struct {
		Epoch     Offset
		NextOwner VMID
		Runner    RunnerID
	}

	// RulesChange replaces the text of the rules.
	RulesChange struct {
		// Base is the version of the rules that the change is based on.
		Base Offset
		// Operator names the person who made the change.
		Operator string
		Text     string
	}

	// TakeChange makes a VM the owner of a runner.
	TakeChange struct {
		// Base is the runner's current epoch, or NoOffset if it was never owned.
		Base      Offset
		Ownership Ownership
	}

	// UnknownChange is a change of a kind that this version of the program does not
	// know.
	UnknownChange struct {
		Data []byte
	}

	// WithdrawChange withdraws the permission to hold a model on a runner.
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

// ProposalResult says whether a proposal was accepted. Every process that applies
// the control stream comes to the same result.
type ProposalResult struct {
	Accepted bool
	ID       ProposalID
	Offset   Offset
	// Reason says why a proposal was rejected.
	Reason string
}

// Encoder encodes proposals as records and decodes them.
type Encoder interface {
	// DecodeProposal returns the proposal in a record. An unknown kind of change
	// is returned as an UnknownChange without an error.
	DecodeProposal(data []byte) (Proposal, error)
	// EncodeProposal returns the record for a proposal.
	EncodeProposal(p Proposal) ([]byte, error)
}
