package listener

import (
	"github.com/kataras/iris/v12"

	"github.com/buckthorndyke/buckthorndyke"
)

// models handles requests for the list of models that the caller may use.
func (l *Listener) models(ctx iris.Context) {
	caller, err := l.authenticate(ctx)
	if err != nil {
		writeRefusal(ctx, buckthorndyke.RefusalOf(err))
		return
	}
	rules, err := l.gateway.Models(ctx.Request().Context(), caller)
	if err != nil {
		writeRefusal(ctx, buckthorndyke.RefusalOf(err))
		return
	}
	list := modelList{Data: []modelEntry{}, Object: "list"}
	for _, rule := range rules {
		list.Data = append(list.Data, modelEntry{
			ID:      string(rule.ID),
			Object:  "model",
			OwnedBy: rule.RequestedBy,
			Parent:  string(rule.Base),
		})
	}
	_ = ctx.JSON(list)
}
