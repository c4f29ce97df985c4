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
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

// tokenVariable names the environment variable that holds the operator's token.
const tokenVariable = "BUCKTHORNDYKE_OPERATOR_TOKEN"

// Limits of the client.
const (
	// maxAnswerBytes bounds an answer of the operator interface.
	maxAnswerBytes = 64 << 20
	// requestTimeout bounds a request, its answer included. It is longer than an
	// entry VM waits for a ruling.
	requestTimeout = 45 * buckthorndyke.Second
)

// target says which entry VM to ask.
type target struct {
	address   string
	tokenFile string
}

// addTo adds the flags that say which entry VM to ask.
func (t *target) addTo(flags *flaggy.Subcommand) {
	flags.String(&t.address, "o", "operator", "IP number and port of an entry VM's operator interface.")
	flags.String(&t.tokenFile, "t", "token-file", "File with the operator's token; else "+tokenVariable+" holds it.")
}

// client returns a client of the operator interface.
func (t *target) client() (*client, error) {
	if t.address == "" {
		return nil, usageError{cause: "--operator ADDRESS is missing"}
	}
	if _, err := netip.ParseAddrPort(t.address); err != nil {
		return nil, usageError{cause: fmt.Sprintf("--operator %q is no IP number with a port", t.address)}
	}
	token := os.Getenv(tokenVariable)
	if t.tokenFile != "" {
		data, err := readFile(t.tokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, usageError{cause: "the operator's token is missing; give --token-file FILE or set " + tokenVariable}
	}
	return newClient(t.address, token), nil
}

// client asks one entry VM's operator interface.
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
			Transport:     &http.Transport{},
		},
		token: token,
		url:   "http://" + address,
	}
}

// get reads the answer at path into answer.
func (c *client) get(ctx context.Context, path string, answer any) error {
	return c.send(ctx, http.MethodGet, path, nil, answer)
}

// post sends body and reads the answer into answer. The verdict of an error tells
// whether the request may have taken effect.
func (c *client) post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeInternal, buckthorndyke.NotRun, err.Error())
	}
	return c.send(ctx, http.MethodPost, path, data, answer)
}

// send sends one request. Its error is a *buckthorndyke.RefusalError or, for rules
// with faults, a *buckthorndyke.FaultsError.
func (c *client) send(ctx context.Context, method, path string, body []byte, answer any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeInternal, buckthorndyke.NotRun, err.Error())
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(r)
	if err != nil {
		return unanswered(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return unanswered(err)
	}
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusConflict {
		return refused(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeInternal, buckthorndyke.MayHaveRun,
			"the answer cannot be read; ask an entry VM of the same version: "+err.Error())
	}
	return nil
}

// refused returns the error that an answer reports.
func refused(status int, data []byte) error {
	var answer operator.ErrorResponse
	if err := json.Unmarshal(data, &answer); err != nil || answer.Error.Code == "" {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeInternal, buckthorndyke.MayHaveRun,
			fmt.Sprintf("status %d with an answer that cannot be read; is --operator the operator interface?", status))
	}
	var faults []buckthorndyke.FaultError
	for _, f := range answer.Faults {
		faults = append(faults, buckthorndyke.FaultError(f))
	}
	if err := buckthorndyke.NewFaults(faults); err != nil {
		return err
	}
	message := answer.Error.Message
	if answer.Error.Code == buckthorndyke.CodeUnauthenticated {
		message += "; correct --token-file or " + tokenVariable
	}
	return buckthorndyke.NewRefusal(answer.Error.Code, buckthorndyke.ParseVerdict(answer.Error.Verdict), message)
}

// unanswered returns the error of a request that got no answer. Only if no
// connection was made it has surely not run.
func unanswered(err error) error {
	verdict := buckthorndyke.MayHaveRun
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		verdict = buckthorndyke.NotRun
	}
	return buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, verdict,
		fmt.Sprintf("%v; check --operator, or ask another entry VM", err))
}

// outcome returns err as an unknownError if the change may have taken effect.
func outcome(err error, settle string) error {
	if err != nil && buckthorndyke.VerdictOf(err) == buckthorndyke.MayHaveRun {
		return unknownError{err: err, settle: settle}
	}
	return err
}
