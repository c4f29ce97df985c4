// Package apportioner decides how much of a caller's allotment each entry VM may use.
// Usage is the VM's side: it charges requests against a limit that the leader grants.
// Ledger is the leader's side: it takes reports of what VMs have used and grants limits,
// so that all VMs together stay within the allotment. It does no I/O and does not read
// the clock.
package apportioner
