// Package matrix holds the fault matrix: every fault at every step, over real
// supervisor trees and in-memory stand-ins, with a fake clock and fixed seeds.
// After each cell all promises of the system are checked.
package matrix
