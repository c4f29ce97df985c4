package buckthorndyke

// Names of metrics.
const (
	// The metrics of allotments count amounts by caller. MetricAllotmentExceeded counts
	// what was beyond the allotment, and MetricAllotmentUnknown what was refused although
	// it may have been within it.
	MetricAllotmentAdmitted  Metric = "allotment-admitted"
	MetricAllotmentExceeded  Metric = "allotment-exceeded"
	MetricAllotmentRequested Metric = "allotment-requested"
	// MetricAllotmentShare is the VM's share in thousandths, MetricAllotmentShareAge the
	// age of the leader's last grant in seconds.
	MetricAllotmentShare    Metric = "allotment-share-permille"
	MetricAllotmentShareAge Metric = "allotment-share-age-s"
	MetricAllotmentUnknown  Metric = "allotment-unknown"

	MetricAttempts         Metric = "attempts"
	MetricControlOffset    Metric = "control-offset"
	MetricCrowdedRunners   Metric = "crowded-runners"
	MetricEvictions        Metric = "evictions"
	MetricExpectationError Metric = "expectation-error-ms"
	MetricFirstByte        Metric = "first-byte-ms"
	MetricFirstToken       Metric = "first-token-ms"
	MetricGap              Metric = "gap-ms"
	MetricLinesDropped     Metric = "lines-dropped"
	MetricLoads            Metric = "loads"
	MetricLoadTime         Metric = "load-ms"
	MetricLogDown          Metric = "log-down"
	MetricMembers          Metric = "members"
	MetricMemoryRefusals   Metric = "memory-refusals"
	MetricOrderFailures    Metric = "order-failures"
	MetricOrderReasons     Metric = "order-reasons"
	MetricOrders           Metric = "orders"
	MetricOrderTime        Metric = "order-ms"
	MetricPassedOver       Metric = "waits-passed-over"
	MetricPromptsYielded   Metric = "prompts-yielded"
	MetricRequestsRejected Metric = "requests-rejected"
	MetricRequestsRefused  Metric = "requests-refused"
	MetricRequestsServed   Metric = "requests-served"
	MetricRetries          Metric = "retries"
	MetricCallers          Metric = "callers"
	MetricRoutingCopies    Metric = "routing-copies"
	MetricRoutingVersion   Metric = "routing-version"
	MetricRulesVersion     Metric = "rules-version"
	MetricRunnersOwned     Metric = "runners-owned"
	MetricServers          Metric = "servers"
	MetricServersLimited   Metric = "servers-limited"
	MetricStoreCalls       Metric = "store-calls"
	MetricStoreTime        Metric = "store-call-ms"
	MetricStreamsResumed   Metric = "streams-resumed"
	MetricUnknownRecords   Metric = "unknown-records"
	MetricWait             Metric = "wait-ms"
	MetricWaitError        Metric = "wait-error-ms"
	MetricWaiting          Metric = "waiting"
	MetricWaitsPromised    Metric = "returns-expected"
	MetricWaitsRefused     Metric = "waits-refused"
	MetricWaitsReturned    Metric = "returns"
	MetricWrongLoadEnds    Metric = "wrong-load-ends"
)

// Metric is the kebab-case name of a metric. Names that end in -ms are distributions
// of durations in milliseconds.
type Metric string

// Of returns the metric for one value of a label, such as a rank.
func (m Metric) Of(label string) Metric {
	return m + "/" + Metric(label)
}

// Meter records measurements.
type Meter interface {
	// Count adds n to a counter.
	Count(m Metric, n int64)
	// Observe adds the duration d to a distribution.
	Observe(m Metric, d Millis)
	// Set sets the value of a gauge.
	Set(m Metric, value int64)
}

// MetricsReporter records measurements and reports them.
type MetricsReporter interface {
	Meter
	// MarshalJSON returns all metrics as a JSON object keyed by name.
	MarshalJSON() ([]byte, error)
}
