package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// The Content-Type header field and its values.
const (
	contentType = "Content-Type"
	jsonType    = "application/json"
	eventsType  = "text/event-stream"
)

// client sends JSON requests to the server at one address.
type client struct {
	address   string
	bodyLimit int64
	// code is the code of the error if a request fails without a refusal from the
	// server.
	code   buckthorndyke.Code
	http   *http.Client
	memory buckthorndyke.MemoryAccount
}

func newClient(address string, code buckthorndyke.Code, opts []Option) client {
	o := newOptions(opts)
	return client{address: address, bodyLimit: o.bodyLimit, code: code, http: newHTTPClient(o, true), memory: o.memory}
}

// call sends in, unless it is nil, and decodes the response into out, unless that
// is nil.
func (c client) call(ctx context.Context, method, path string, query url.Values, in, out proto.Message) error {
	e := c.exchange()
	resp, err := c.send(ctx, e, method, path, query, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := e.read(ctx, resp)
	if err != nil || out == nil {
		return err
	}
	if err := encoder.DecodeJSON(body, out); err != nil {
		return e.wrapError(ctx, err)
	}
	return nil
}

func (c client) exchange() *exchange {
	return &exchange{bodyLimit: c.bodyLimit, code: c.code, http: c.http, memory: c.memory}
}

// send sends in, unless it is nil, and returns the response if its status is 2xx.
func (c client) send(
	ctx context.Context, e *exchange, method, path string, query url.Values, in proto.Message,
) (*http.Response, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = encoder.EncodeJSON(in); err != nil {
			return nil, badRequest(err)
		}
	}
	header := http.Header{contentType: {jsonType}}
	resp, err := e.send(ctx, method, c.url(path, query), header, body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, c.responseError(ctx, e, resp)
}

// responseError returns the error that a response with another status than 2xx
// carries in its body.
func (c client) responseError(ctx context.Context, e *exchange, resp *http.Response) error {
	body, err := e.read(ctx, resp)
	if err != nil {
		return err
	}
	var refusal wire.PlatformError
	if err := encoder.DecodeJSON(body, &refusal); err != nil || refusal.Code == "" {
		return e.wrapError(ctx, fmt.Errorf("the server at %s responded with %s", c.address, resp.Status))
	}
	return encoder.DecodeRefusal(&refusal)
}

// url returns the URL of path, whose segments must be escaped already.
func (c client) url(path string, query url.Values) string {
	u := "http://" + c.address + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	return u
}
