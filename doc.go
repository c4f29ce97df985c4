// Package buckthorndyke holds the core of the serving system: the immutable
// values that its tasks exchange and the interfaces whose implementations live
// in the packages below. It imports no socket, no codec and no clock.
package buckthorndyke
