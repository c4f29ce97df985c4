// Package buckthorndyke defines the core types of the serving system: the immutable
// values that its tasks exchange, and the interfaces that the packages below it
// implement. It contains no networking, encoding or system clock.
package buckthorndyke
