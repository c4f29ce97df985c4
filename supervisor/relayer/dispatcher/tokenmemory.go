package dispatcher

import "github.com/buckthorndyke/buckthorndyke"

// errTooManyTokens refuses a request that no runner of its service can run.
var errTooManyTokens = buckthorndyke.NewRefusal(buckthorndyke.CodeTooLarge, buckthorndyke.NotRun,
	"the prompt and the response exceed the memory of a runner")

// cacheTokens returns the memory for tokens of a runner that serves key, or 0 if it is not
// known or not limited.
func (t *task) cacheTokens(key buckthorndyke.ModelKey) int {
	service, ok := t.routing.Services.Get(key.Service)
	if key.Model == "" || !ok || service.Engine == nil {
		return 0
	}
	return service.Engine.CacheTokens
}

// refuseTooLarge refuses a request that is larger than the memory of any runner, and reports
// whether it did. Runners reject it, and each rejection counts as a retry.
func (t *task) refuseTooLarge(m admissionRequested) bool {
	m.query.CacheTokens = t.cacheTokens(m.query.Key)
	if m.query.FitsMemory() {
		return false
	}
	m.reply.Answer(admission{err: errTooManyTokens, final: true})
	return true
}
