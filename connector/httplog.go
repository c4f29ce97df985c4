package connector

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// HTTPLog is a client of the platform's log service. It implements
// buckthorndyke.Log.
type HTTPLog struct {
	client
}

// NewHTTPLog returns a client of the log service at address.
func NewHTTPLog(address string, opts ...Option) *HTTPLog {
	return &HTTPLog{client: newClient(address, buckthorndyke.CodeLogUnavailable, opts)}
}

// Append implements buckthorndyke.Log.
func (l *HTTPLog) Append(
	ctx context.Context, stream buckthorndyke.Stream, data []byte,
) (buckthorndyke.Offset, error) {
	var out wire.LogAppendResponse
	in := &wire.LogAppendRequest{Data: data}
	if err := l.call(ctx, http.MethodPost, recordsPath(stream), nil, in, &out); err != nil {
		return buckthorndyke.NoOffset, err
	}
	return buckthorndyke.Offset(out.Offset), nil
}

// Read implements buckthorndyke.Log.
func (l *HTTPLog) Read(
	ctx context.Context, stream buckthorndyke.Stream, from buckthorndyke.Offset, wait buckthorndyke.Millis,
) (buckthorndyke.LogBatch, error) {
	var out wire.LogReadResponse
	query := url.Values{"from": {from.String()}, "wait-ms": {strconv.FormatInt(int64(wait), 10)}}
	if err := l.call(ctx, http.MethodGet, recordsPath(stream), query, nil, &out); err != nil {
		return buckthorndyke.LogBatch{}, err
	}
	return encoder.DecodeBatch(&out), nil
}

// recordsPath returns the URL path of a stream's records.
func recordsPath(stream buckthorndyke.Stream) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
}
