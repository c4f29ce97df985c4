package buckthorndyke

import "context"

// ErrMemory means that a VM has too little free memory for a message, or for more of it.
var ErrMemory = NewRefusal(CodeMemoryShort, NotRun, "the VM has too little free memory for the message")

// MemoryReservation is the memory that is reserved for one message. Only one goroutine may
// use it at a time.
type MemoryReservation interface {
	// Close releases the memory. Only the first call has an effect.
	Close()
	// Grow reserves n more bytes. Its error is ErrMemory if too little memory is free, or the
	// cause of ctx.
	Grow(ctx context.Context, n int) error
}

// MemoryAccount limits the memory that the requests and responses of a VM take together.
type MemoryAccount interface {
	// Open returns a reservation without memory.
	Open() MemoryReservation
}
