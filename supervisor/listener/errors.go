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

// headerVerdict names the header that says whether the request may have run.
const headerVerdict = "X-Buckthorndyke-Verdict"

// errorType is the general class of all errors, as clients expect it.
const errorType = "buckthorndyke-refusal"

// bodyOf returns the JSON form of r.
func bodyOf(r *buckthorndyke.RefusalError) errorBody {
	return errorBody{Error: errorDetail{
		Code:         string(r.Code()),
		Message:      r.Message(),
		RetryAfterMS: int64(r.RetryAfter()),
		Type:         errorType,
		Verdict:      r.Verdict().String(),
	}}
}

// readRefusal returns the refusal of a body that could not be read.
func readRefusal(err error) *buckthorndyke.RefusalError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeTooLarge, buckthorndyke.NotRun,
			"the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return buckthorndyke.NewRefusal(buckthorndyke.CodeBadRequest, buckthorndyke.NotRun, "the body cannot be read: "+err.Error())
}

// writeRefusal answers with r.
func writeRefusal(ctx iris.Context, r *buckthorndyke.RefusalError) {
	if r.RetryAfter() > 0 {
		seconds := math.Ceil(r.RetryAfter().Duration().Seconds())
		ctx.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	ctx.Header(headerVerdict, r.Verdict().String())
	ctx.StatusCode(translator.HTTPStatus(r))
	_ = ctx.JSON(bodyOf(r))
}
