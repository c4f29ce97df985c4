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

// Media types.
const (
	contentType = "Content-Type"
	jsonType    = "application/json"
	eventsType  = "text/event-stream"
)

// client exchanges JSON messages with the server at one address.
type client struct {
	address   string
	bodyLimit int64
	// code is that of the error of an exchange that fails.
	code buckthorndyke.Code
	http *http.Client
}

func newClient(address string, code buckthorndyke.Code, opts []Option) client {
	o := newOptions(opts)
	return client{address: address, code: code, http: newHTTPClient(o, true), bodyLimit: o.bodyLimit}
}

// call sends in, unless it is nil, and reads the answer into out, unless that
// is nil.
func (c client) call(ctx context.Context, method, path string, query url.Values, in, out proto.Message) error {
	e := c.exchange()
	w, err := c.send(ctx, e, method, path, query, in)
	if err != nil {
		return err
	}
	defer func() { _ = w.Body.Close() }()
	body, err := e.read(ctx, w)
	if err != nil || out == nil {
		return err
	}
	if err := encoder.DecodeJSON(body, out); err != nil {
		return e.wrapError(ctx, err)
	}
	return nil
}

// exchange returns a new exchange.
func (c client) exchange() *exchange {
	return &exchange{code: c.code, http: c.http, bodyLimit: c.bodyLimit}
}

// send sends in, unless it is nil, and returns the answer if it is a success.
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
	w, err := e.send(ctx, method, c.url(path, query), header, body)
	if err != nil {
		return nil, err
	}
	if w.StatusCode/100 == 2 {
		return w, nil
	}
	defer func() { _ = w.Body.Close() }()
	return nil, c.responseError(ctx, e, w)
}

// refusal returns the error in an answer that is no success.
func (c client) responseError(ctx context.Context, e *exchange, w *http.Response) error {
	body, err := e.read(ctx, w)
	if err != nil {
		return err
	}
	var refusal wire.PlatformError
	if err := encoder.DecodeJSON(body, &refusal); err != nil || refusal.Code == "" {
		return e.wrapError(ctx, fmt.Errorf("the server at %s answered %s", c.address, w.Status))
	}
	return encoder.DecodeRefusal(&refusal)
}

// url returns the URL of a path, whose segments are escaped.
func (c client) url(path string, query url.Values) string {
	u := "http://" + c.address + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	return u
}
