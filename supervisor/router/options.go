package router

import "github.com/buckthorndyke/buckthorndyke"

// Defaults.
const (
	defaultCallTimeout    = 30 * buckthorndyke.Second
	defaultStallTimeout   = 15 * buckthorndyke.Second
	defaultVMListInterval = 1 * buckthorndyke.Second
)

// Option configures a Router.
type Option func(*options)

type options struct {
	callTimeout    buckthorndyke.Millis
	localPeers     map[buckthorndyke.VMID]buckthorndyke.Peer
	meter          buckthorndyke.Meter
	stallTimeout   buckthorndyke.Millis
	vmListInterval buckthorndyke.Millis
}

// WithCallTimeout bounds a call of a plain service, retries included.
func WithCallTimeout(d buckthorndyke.Millis) Option {
	return func(o *options) { o.callTimeout = d }
}

// WithLocalPeer reaches vm through peer in place of the network.
func WithLocalPeer(vm buckthorndyke.VMID, peer buckthorndyke.Peer) Option {
	return func(o *options) { o.localPeers[vm] = peer }
}

// WithMeter counts retries and resumed streams.
func WithMeter(m buckthorndyke.Meter) Option {
	return func(o *options) { o.meter = m }
}

// WithStallTimeout bounds the time between two tokens. A runner that is silent
// for longer counts as failed.
func WithStallTimeout(d buckthorndyke.Millis) Option {
	return func(o *options) { o.stallTimeout = d }
}

// WithVMListInterval sets how often the VM list is read.
func WithVMListInterval(d buckthorndyke.Millis) Option {
	return func(o *options) { o.vmListInterval = d }
}

// noMeter takes no measurements.
type noMeter struct{}

func (noMeter) Count(buckthorndyke.Metric, int64)                  {}
func (noMeter) Observe(buckthorndyke.Metric, buckthorndyke.Millis) {}
func (noMeter) Set(buckthorndyke.Metric, int64)                    {}
