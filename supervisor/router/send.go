package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// call is one call to a plain service.
type call struct {
	*Router
	// mayHaveRun is set once a byte of the call may have been sent.
	mayHaveRun bool
	// repeatable is set if the rules declare the call idempotent.
	repeatable bool
	request    buckthorndyke.CallRequest
	// tried holds the backend servers that failed this call.
	tried []buckthorndyke.VMID
}

// send sends the call to a backend server. If that fails it tries others, as long as
// the verdict and the retry budget allow a retry.
func (c *call) send(ctx context.Context) (buckthorndyke.ServiceResponse, error) {
	// If the message is lost, the request does not add to the retry budget.
	_ = c.box.Send(ctx, requestMessage{})
	for {
		vm, err := c.server(ctx)
		if err != nil {
			return buckthorndyke.ServiceResponse{}, c.refusal(buckthorndyke.CodeServiceUnavailable, err.Error())
		}
		response, err := c.service.Call(ctx, vm.Address, c.request.Call)
		_ = c.box.Send(context.WithoutCancel(ctx), endedMessage{at: c.clock.Now(), failed: err != nil && ctx.Err() == nil, vm: vm.ID})
		if err == nil {
			return response, nil
		}
		verdict := buckthorndyke.VerdictOf(err)
		c.mayHaveRun = c.mayHaveRun || !verdict.RetryIsSafe()
		failed := chooser.Attempt{Repeatable: c.repeatable, Verdict: verdict}
		if ctx.Err() != nil || !failed.MayRepeat() || !c.takeRetry(ctx) {
			return buckthorndyke.ServiceResponse{}, c.refusal(buckthorndyke.CodeServiceUnavailable, err.Error())
		}
		c.tried = append(c.tried, vm.ID)
	}
}

// refusal returns a refusal with the verdict over all attempts.
func (c *call) refusal(code buckthorndyke.Code, message string) *buckthorndyke.RefusalError {
	if c.mayHaveRun {
		return buckthorndyke.NewRefusal(code, buckthorndyke.MayHaveRun, message)
	}
	return refuse(code, message)
}

// server chooses the backend server to send to.
func (c *call) server(ctx context.Context) (buckthorndyke.VM, error) {
	chosen, err := mailer.Ask(ctx, c.box, func(reply mailer.Reply[serverReply]) message {
		return serverMessage{now: c.clock.Now(), reply: reply, service: c.request.Call.Service, tried: c.tried}
	})
	if err != nil {
		return buckthorndyke.VM{}, err
	}
	if !chosen.found {
		return buckthorndyke.VM{}, errNoServer
	}
	return chosen.vm, nil
}
