package listener

import (
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
)

// headerVerdict is the response header that says whether the request may have
// run.
const headerVerdict = "X-Buckthorndyke-Verdict"

// errorType is the "type" of all errors. Clients of completion APIs expect that
// field.
const errorType = "buckthorndyke-refusal"

// errorBodyOf returns the response body that reports r.
func errorBodyOf(r *buckthorndyke.RefusalError) errorBody {
	return errorBody{Error: errorDetail{
		Code:         string(r.Code()),
		Message:      r.Message(),
		RetryAfterMS: int64(r.RetryAfter()),
		Type:         errorType,
		Verdict:      r.Verdict().String(),
	}}
}

// unreadableBody returns the refusal of a request whose body could not be read or
// decoded because of err.
func unreadableBody(err error) *buckthorndyke.RefusalError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeTooLarge, buckthorndyke.NotRun,
			"the request body is larger than the limit of "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return buckthorndyke.NewRefusal(buckthorndyke.CodeBadRequest, buckthorndyke.NotRun, "the request body cannot be read or decoded: "+err.Error())
}

// writeRefusal responds with r. The Retry-After header is rounded up to whole
// seconds.
func writeRefusal(ctx iris.Context, r *buckthorndyke.RefusalError) {
	if r.RetryAfter() > 0 {
		seconds := math.Ceil(r.RetryAfter().Duration().Seconds())
		ctx.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	ctx.Header(headerVerdict, r.Verdict().String())
	ctx.StatusCode(translator.HTTPStatus(r))
	_ = ctx.JSON(errorBodyOf(r))
}
