package responder

import "github.com/cockroachdb/errors"

// errMissingTicketRequest reports a ticket stream whose first message is not a
// ticket request.
var errMissingTicketRequest = errors.New("the first message of a ticket stream is not a ticket request")
