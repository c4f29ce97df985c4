// Package quarantiner decides which requests are quarantined because they crash the
// servers that run them. Entry VMs exchange the evidence and come to the same decision,
// whichever of them saw a crash. It does no I/O and does not read the clock.
package quarantiner
