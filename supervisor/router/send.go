package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// call is one call of a plain service.
type call struct {
	*Router
	// mayHaveRun is set once a byte may have left.
	mayHaveRun bool
	// repeatable is set if the rules say that the call may be repeated.
	repeatable bool
	request    buckthorndyke.CallRequest
	// tried holds the backend servers that have failed.
	tried []buckthorndyke.VMID
}

// send sends the call to one backend server, and to another one as long as the
// failure's verdict and the retry budget allow.
func (c *call) send(ctx context.Context) (buckthorndyke.ServiceResponse, error) {
	// Requests that cannot be counted earn no retry.
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

// refusal returns a refusal with the verdict of all attempts.
func (c *call) refusal(code buckthorndyke.Code, message string) *buckthorndyke.RefusalError {
	if c.mayHaveRun {
		return buckthorndyke.NewRefusal(code, buckthorndyke.MayHaveRun, message)
	}
	return refuse(code, message)
}

// server returns the backend server to send to.
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
