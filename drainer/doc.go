// Package drainer stops HTTP servers without losing requests that they have read.
package drainer
