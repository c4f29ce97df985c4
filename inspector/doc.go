// Package inspector checks that what a server has sent is a response. It refuses what net/http
// accepts although it is none, or could be read in two ways.
package inspector
