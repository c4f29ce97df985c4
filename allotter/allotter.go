// Package allotter decides who may hold how much of a limited amount of memory.
package allotter

// Sizes of holders, in bytes, and the parts of the memory, in thousandths, that may be in use
// after they have got more. Large holders leave a part of the memory to smaller ones, so that
// an ordinary message finds room whatever the large ones do.
const (
	smallBytes     = 128 << 10
	mediumBytes    = 1 << 20
	smallPermille  = 1000
	mediumPermille = 900
	largePermille  = 800
)

// Allotment is an amount of memory that many holders share. It is immutable.
type Allotment struct {
	limit, used int
}

// New returns an allotment of limit bytes, all of which are free.
func New(limit int) Allotment { return Allotment{limit: limit} }

// Grants reports whether a holder of held bytes may have n more.
func (a Allotment) Grants(held, n int) bool {
	permille := largePermille
	switch size := held + n; {
	case size <= smallBytes:
		permille = smallPermille
	case size <= mediumBytes:
		permille = mediumPermille
	}
	return a.used+n <= a.limit/1000*permille
}

// Used returns the number of bytes that are held.
func (a Allotment) Used() int { return a.used }

// WithHeld returns the allotment after a holder took n more bytes.
func (a Allotment) WithHeld(n int) Allotment {
	a.used += n
	return a
}

// WithReleased returns the allotment after a holder released n bytes.
func (a Allotment) WithReleased(n int) Allotment {
	a.used = max(a.used-n, 0)
	return a
}
