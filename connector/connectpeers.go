package connector

import (
	"net/http"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire/wireconnect"
)

// Times after which a connection is pinged if no frame arrives, and closed if the
// ping is not acknowledged.
const (
	peerPingAfter   = 2 * buckthorndyke.Second
	peerPingTimeout = 2 * buckthorndyke.Second
)

// ConnectPeers provides clients for peers, over the Connect protocol and HTTP/2
// without TLS. It implements buckthorndyke.Peers.
type ConnectPeers struct {
	client  *http.Client
	encoder buckthorndyke.Encoder
}

// NewConnectPeers returns clients that authenticate with key, which all entry VMs
// share. They decode snapshots with encoder.
func NewConnectPeers(key string, encoder buckthorndyke.Encoder) *ConnectPeers {
	return &ConnectPeers{client: peerClient(key), encoder: encoder}
}

// peerClient returns an HTTP client that sends key as a bearer token.
func peerClient(key string) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		HTTP2: &http.HTTP2Config{
			PingTimeout:     peerPingTimeout.Duration(),
			SendPingTimeout: peerPingAfter.Duration(),
		},
		Protocols: protocols,
	}
	return &http.Client{Transport: &bearerTransport{base: transport, token: key}}
}

// At implements buckthorndyke.Peers.
func (p *ConnectPeers) At(address string) buckthorndyke.Peer {
	return &ConnectPeer{
		client:  wireconnect.NewPeerServiceClient(p.client, "http://"+address),
		encoder: p.encoder,
	}
}

// bearerTransport adds a bearer token to each request.
type bearerTransport struct {
	base  http.RoundTripper
	token string
}

// RoundTrip implements http.RoundTripper.
func (t *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.token)
	return t.base.RoundTrip(r)
}
