// Package matrix holds the fault matrix: tests that inject every fault at every step,
// with real supervisor trees, in-memory fakes, a fake clock and fixed seeds. After
// each cell all guarantees of the system are checked.
package matrix
