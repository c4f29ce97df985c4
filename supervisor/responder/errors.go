package responder

import "github.com/cockroachdb/errors"

// errNoRequest reports a ticket stream that does not begin with its request.
var errNoRequest = errors.New("a ticket stream begins with its request")
