package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/translator"
)

// headerVerdict is the response header that says whether the request may have
// run.
const headerVerdict = "X-Buckthorndyke-Verdict"

// Default and maximum number of entries in the response to GET /audit.
const (
	defaultAuditEntries = 50
	maxAuditEntries     = 10_000
)

// handler decodes operators' requests and encodes the responses.
type handler struct {
	bodyLimit  int64
	logger     zerolog.Logger
	operations Operations
	token      [sha256.Size]byte
}

func newHandler(operations Operations, token string, bodyLimit int64, logger zerolog.Logger) *handler {
	return &handler{bodyLimit: bodyLimit, logger: logger, operations: operations, token: sha256.Sum256([]byte(token))}
}

func (h *handler) apply(ctx iris.Context) {
	m, err := h.decode(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	result, err := h.operations.Apply(ctx.Request().Context(), ApplyRequest(m))
	h.logApply(m, result, err)
	if err != nil {
		writeError(ctx, err)
		return
	}
	status, verdict := http.StatusOK, buckthorndyke.Ran
	if !result.Accepted {
		status, verdict = http.StatusConflict, buckthorndyke.NotRun
	}
	ctx.Header(headerVerdict, verdict.String())
	ctx.StatusCode(status)
	_ = ctx.JSON(applyResponse(result))
}

func (h *handler) audit(ctx iris.Context) {
	limit := defaultAuditEntries
	if text := ctx.URLParam(ParameterLimit); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAuditEntries {
			writeError(ctx, newRefusal(buckthorndyke.CodeBadRequest,
				"invalid parameter \"limit\": expected a whole number from 1 to "+strconv.Itoa(maxAuditEntries)))
			return
		}
		limit = n
	}
	entries, err := h.operations.Audit(ctx.Request().Context(), limit)
	if err != nil {
		writeError(ctx, err)
		return
	}
	_ = ctx.JSON(auditResponse(entries))
}

// authenticate refuses requests that do not carry the operator's token. It compares
// digests so that the duration does not depend on the token's length.
func (h *handler) authenticate(ctx iris.Context) {
	token, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(digest[:], h.token[:]) != 1 || !ok {
		writeError(ctx, newRefusal(buckthorndyke.CodeUnauthenticated, "the operator's token is missing or wrong"))
		return
	}
	ctx.Next()
}

// decode returns the body of a POST /rules request.
func (h *handler) decode(ctx iris.Context) (ApplyMessage, error) {
	var m ApplyMessage
	decoder := json.NewDecoder(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, h.bodyLimit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&m)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return m, nil
		}
		err = errors.New("unexpected data after the JSON object")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return m, newRefusal(buckthorndyke.CodeTooLarge, "the request body is larger than the limit of "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return m, newRefusal(buckthorndyke.CodeBadRequest, "the request body cannot be read or decoded: "+err.Error())
}

func (h *handler) drain(ctx iris.Context) {
	if err := h.operations.Drain(); err != nil {
		writeError(ctx, err)
		return
	}
	h.logger.Info().EmbedObject(reporter.EventDrainAsked).Str("from", ctx.RemoteAddr()).Msg("an operator requested a drain")
	ctx.StatusCode(http.StatusAccepted)
	_ = ctx.JSON(DrainResponse{Draining: true})
}

// logApply logs the outcome of an attempt to change the rules.
func (h *handler) logApply(m ApplyMessage, result ApplyResult, err error) {
	event := h.logger.Info().Str("by", m.By[:min(len(m.By), maxOperatorNameBytes)]).Uint64("base", uint64(m.Base))
	switch {
	case err != nil && buckthorndyke.VerdictOf(err) == buckthorndyke.MayHaveRun:
		event.EmbedObject(reporter.EventRulesUnknown).Err(err).Msg("new rules were proposed; it is unknown whether they were accepted")
	case err != nil:
		event.EmbedObject(reporter.EventRulesRejected).Err(err).Msg("new rules were refused and not appended to the log")
	case !result.Accepted:
		event.EmbedObject(reporter.EventRulesRejected).Str("reason", result.Reason).Msg("new rules were proposed and rejected")
	default:
		event.EmbedObject(reporter.EventRulesAccepted).Uint64("version", uint64(result.Version)).Msg("new rules were accepted or are already in force")
	}
}

func (h *handler) metrics(ctx iris.Context) {
	m, err := h.operations.Metrics(ctx.Request().Context())
	if err != nil {
		writeError(ctx, err)
		return
	}
	_ = ctx.JSON(m)
}

func (h *handler) rules(ctx iris.Context) {
	r, err := h.operations.Rules(ctx.Request().Context())
	if err != nil {
		writeError(ctx, err)
		return
	}
	_ = ctx.JSON(RulesResponse(r))
}

func (h *handler) status(ctx iris.Context) {
	s, err := h.operations.Status(ctx.Request().Context())
	if err != nil {
		writeError(ctx, err)
		return
	}
	_ = ctx.JSON(statusResponse(s))
}

func (h *handler) versions(ctx iris.Context) {
	_ = ctx.JSON(VersionsResponse{VMs: vmItems(h.operations.Versions(ctx.Request().Context()))})
}

// newRefusal returns a refusal of a request that was not carried out.
func newRefusal(code buckthorndyke.Code, message string) error {
	return buckthorndyke.NewRefusal(code, buckthorndyke.NotRun, message)
}

// writeError responds with err.
func writeError(ctx iris.Context, err error) {
	response, r := errorResponse(err)
	ctx.Header(headerVerdict, r.Verdict().String())
	ctx.StatusCode(translator.HTTPStatus(r))
	_ = ctx.JSON(response)
}
