package arbiter

// Reasons for rejections. They are part of the state and of checkpoints, so the texts
// must be the same in all versions of the program.
const (
	reasonAdapter      = "adapters have no placements"
	reasonBase         = "the change is based on an old version"
	reasonFuture       = "the checkpoint is ahead of its own record"
	reasonIncarnation  = "the change names another life of the VM"
	reasonMaximum      = "the model would exceed its replica maximum"
	reasonModelUnknown = "the rules do not permit the model"
	reasonNextOwner    = "the heir is not a live member"
	reasonNoID         = "the proposal has no id"
	reasonNoMember     = "the VM is not a member"
	reasonNoRunner     = "the change names no runner"
	reasonNoSlot       = "the model has no such slot"
	reasonNotOwner     = "the proposer does not own the runner"
	reasonNotSuccessor = "the owner is a member and the proposer is not its successor"
	reasonProposer     = "only the VM itself may propose the change"
	reasonUnknown      = "the kind of change is not known"
)
