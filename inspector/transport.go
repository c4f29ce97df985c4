package inspector

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// Transport is an http.RoundTripper that fails if a server's bytes are no response, as far as
// the parsed response shows that: it does not see continued lines, and of a status line only
// the number.
type Transport struct {
	http.RoundTripper
}

// NewTransport returns a transport that sends requests through base.
func NewTransport(base http.RoundTripper) *Transport { return &Transport{RoundTripper: base} }

// CloseIdleConnections closes those of the base.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	w, err := t.RoundTripper.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			return checkParsed(status, http.Header(header))
		},
	})))
	if err != nil {
		return nil, err
	}
	if err := checkParsed(w.StatusCode, w.Header); err != nil {
		_ = w.Body.Close()
		return nil, err
	}
	if len(w.TransferEncoding) > 0 {
		w.Body = &trailedBody{ReadCloser: w.Body, response: w}
	}
	return w, nil
}

// checkParsed returns an error unless a response can have the given status and header.
func checkParsed(status int, header http.Header) error {
	if err := CheckStatus(status); err != nil {
		return err
	}
	return checkNames(header)
}

// checkNames returns an error unless all names of fields are valid.
func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("%.80q is not the name of a header field", name)
		}
	}
	return nil
}

// trailedBody is a body in chunks. Its end is an error if the trailer is none.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && errors.Is(err, io.EOF) {
		if invalid := checkNames(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
