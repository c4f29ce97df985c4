package arbiter_test

import (
	"strconv"

	"github.com/buckthorndyke/buckthorndyke"
)

// lastID is the ID of the last proposal. It makes the IDs unique.
var lastID int

func propose(
	vm buckthorndyke.VMID, incarnation buckthorndyke.Incarnation, c buckthorndyke.Change,
) buckthorndyke.Proposal {
	lastID++
	id := buckthorndyke.ProposalID(strconv.Itoa(lastID))
	return buckthorndyke.Proposal{Change: c, ID: id, Incarnation: incarnation, Proposer: vm}
}

func join(vm buckthorndyke.VMID, incarnation buckthorndyke.Incarnation) buckthorndyke.Proposal {
	m := buckthorndyke.Member{Incarnation: incarnation, VM: vm}
	return propose(vm, incarnation, buckthorndyke.JoinChange{Member: m})
}

func leave(vm buckthorndyke.VMID, incarnation buckthorndyke.Incarnation, draining bool) buckthorndyke.Proposal {
	c := buckthorndyke.LeaveChange{Draining: draining, Incarnation: incarnation, VM: vm}
	return propose(vm, incarnation, c)
}

func take(
	vm buckthorndyke.VMID, incarnation buckthorndyke.Incarnation, runner buckthorndyke.RunnerID,
	base buckthorndyke.Offset, successors ...buckthorndyke.VMID,
) buckthorndyke.Proposal {
	o := buckthorndyke.Ownership{Incarnation: incarnation, Owner: vm, Runner: runner, Successors: successors}
	return propose(vm, incarnation, buckthorndyke.TakeChange{Base: base, Ownership: o})
}

// release returns the proposal of "a" to release runner "r", which it took with the
// third record.
func release(nextOwner buckthorndyke.VMID) buckthorndyke.Proposal {
	return propose("a", 1, buckthorndyke.ReleaseChange{Epoch: 3, NextOwner: nextOwner, Runner: "r"})
}

// releaseBy returns the proposal of vm to release a runner that it owned in epoch.
func releaseBy(vm buckthorndyke.VMID, runner buckthorndyke.RunnerID, epoch buckthorndyke.Offset) buckthorndyke.Proposal {
	return propose(vm, 1, buckthorndyke.ReleaseChange{Epoch: epoch, Runner: runner})
}

func permit(base buckthorndyke.Offset, runners ...buckthorndyke.RunnerID) buckthorndyke.Proposal {
	return propose("", 0, buckthorndyke.PermitChange{Base: base, Model: "m", Runners: runners})
}

func withdraw(base buckthorndyke.Offset, runner buckthorndyke.RunnerID) buckthorndyke.Proposal {
	return propose("", 0, buckthorndyke.WithdrawChange{Base: base, Model: "m", Runner: runner})
}

// freeSlot returns the proposal of "a" that confirms the eviction from "r".
func freeSlot(epoch buckthorndyke.Offset) buckthorndyke.Proposal {
	return propose("a", 1, buckthorndyke.FreeSlotChange{Epoch: epoch, Model: "m", Runner: "r"})
}

func rules(base buckthorndyke.Offset, text string) buckthorndyke.Proposal {
	return propose("", 0, buckthorndyke.RulesChange{Base: base, Operator: "op", Text: text})
}
