package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/inspector"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

// tokenVariable is the environment variable that contains the operator's token.
const tokenVariable = "BUCKTHORNDYKE_OPERATOR_TOKEN"

// Limits of the client.
const (
	// maxResponseBytes is the maximum size of a response body that is read.
	maxResponseBytes = 64 << 20
	// requestTimeout is the maximum time to send a request and receive the response. It
	// is longer than an entry VM waits for a proposal result.
	requestTimeout = 45 * buckthorndyke.Second
)

// operatorEndpoint holds the flags that select the operator interface of an entry VM
// and the token for it.
type operatorEndpoint struct {
	address   string
	tokenFile string
}

// addFlags adds the flags --operator and --token-file.
func (e *operatorEndpoint) addFlags(flags *flaggy.Subcommand) {
	flags.String(&e.address, "o", "operator", "IP address and port of the operator interface of an entry VM.")
	flags.String(&e.tokenFile, "t", "token-file", "File that contains the operator's token. By default the environment variable "+tokenVariable+" contains the token.")
}

// client returns a client for the operator interface. It returns a usageError if the
// address is missing or invalid, or the token is missing.
func (e *operatorEndpoint) client() (*client, error) {
	if e.address == "" {
		return nil, usageError{cause: "--operator ADDRESS is missing"}
	}
	if _, err := netip.ParseAddrPort(e.address); err != nil {
		return nil, usageError{cause: fmt.Sprintf("--operator %q is not an IP address with a port", e.address)}
	}
	token := os.Getenv(tokenVariable)
	if e.tokenFile != "" {
		data, err := readFile(e.tokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, usageError{cause: "the operator's token is missing; give --token-file FILE or set " + tokenVariable}
	}
	return newClient(e.address, token), nil
}

// client sends requests to the operator interface of one entry VM.
type client struct {
	http  *http.Client
	token string
	url   string
}

func newClient(address, token string) *client {
	return &client{
		http: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Timeout:       requestTimeout.Duration(),
			Transport:     inspector.NewTransport(&http.Transport{}),
		},
		token: token,
		url:   "http://" + address,
	}
}

// get sends a GET request and decodes the response into result.
func (c *client) get(ctx context.Context, path string, result any) error {
	return c.send(ctx, http.MethodGet, path, nil, result)
}

// post sends a POST request with body as JSON and decodes the response into result.
// The verdict of an error says whether the request may have taken effect.
func (c *client) post(ctx context.Context, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeInternal, buckthorndyke.NotRun, err.Error())
	}
	return c.send(ctx, http.MethodPost, path, data, result)
}

// send sends one request and decodes the response into result. A response with status
// 409 is decoded like a successful one, because it reports that rules were rejected.
// Errors are *buckthorndyke.RefusalErrors or, for rules with faults,
// *buckthorndyke.FaultsErrors.
func (c *client) send(ctx context.Context, method, path string, body []byte, result any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeInternal, buckthorndyke.NotRun, err.Error())
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(r)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return transportError(err)
	}
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusConflict {
		return responseError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeInternal, buckthorndyke.MayHaveRun,
			"the response cannot be decoded; use an entry VM of the same version as this program: "+err.Error())
	}
	return nil
}

// responseError returns the error that the body of an error response reports.
func responseError(status int, data []byte) error {
	var response operator.ErrorResponse
	if err := json.Unmarshal(data, &response); err != nil || response.Error.Code == "" {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeInternal, buckthorndyke.MayHaveRun,
			fmt.Sprintf("received status %d with a body that is not an error response; is --operator the operator interface?", status))
	}
	var faults []buckthorndyke.FaultError
	for _, f := range response.Faults {
		faults = append(faults, buckthorndyke.FaultError(f))
	}
	if err := buckthorndyke.NewFaults(faults); err != nil {
		return err
	}
	message := response.Error.Message
	if response.Error.Code == buckthorndyke.CodeUnauthenticated {
		message += "; correct --token-file or " + tokenVariable
	}
	return buckthorndyke.NewRefusal(response.Error.Code, buckthorndyke.ParseVerdict(response.Error.Verdict), message)
}

// transportError returns the error of a request that got no response because of err.
// It has certainly not run only if the connection could not be established.
func transportError(err error) error {
	verdict := buckthorndyke.MayHaveRun
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		verdict = buckthorndyke.NotRun
	}
	return buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, verdict,
		fmt.Sprintf("%v; check --operator or try another entry VM", err))
}

// unknownIfMayHaveRun returns err as an unknownError with hint if the change may have
// taken effect, and else unchanged.
func unknownIfMayHaveRun(err error, hint string) error {
	if err != nil && buckthorndyke.VerdictOf(err) == buckthorndyke.MayHaveRun {
		return unknownError{err: err, hint: hint}
	}
	return err
}
