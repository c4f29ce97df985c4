package router

import "github.com/buckthorndyke/buckthorndyke"

// Default options.
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

// WithCallTimeout limits a call to a plain service, including retries, if its context has
// no deadline.
func WithCallTimeout(d buckthorndyke.Millis) Option {
	return func(o *options) { o.callTimeout = d }
}

// WithLocalPeer makes the router reach vm through peer instead of the network.
func WithLocalPeer(vm buckthorndyke.VMID, peer buckthorndyke.Peer) Option {
	return func(o *options) { o.localPeers[vm] = peer }
}

// WithMeter sets the meter that counts retries and resumed streams.
func WithMeter(m buckthorndyke.Meter) Option {
	return func(o *options) { o.meter = m }
}

// WithStallTimeout limits the time between two tokens. A runner that sends nothing for
// longer counts as failed.
func WithStallTimeout(d buckthorndyke.Millis) Option {
	return func(o *options) { o.stallTimeout = d }
}

// WithVMListInterval sets how often the VM list is read.
func WithVMListInterval(d buckthorndyke.Millis) Option {
	return func(o *options) { o.vmListInterval = d }
}

// noMeter discards measurements.
type noMeter struct{}

func (noMeter) Count(buckthorndyke.Metric, int64)                  {}
func (noMeter) Observe(buckthorndyke.Metric, buckthorndyke.Millis) {}
func (noMeter) Set(buckthorndyke.Metric, int64)                    {}
