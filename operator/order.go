package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/orders"
)

// SubmitFunc executes an operator's order for an engine. Its errors are those
// of orders.Controller.Submit.
type SubmitFunc func(ctx context.Context, order orders.Order) (orders.Result, error)

// submitOrder submits an order and responds when the engine is back in service.
func (h *Handler) submitOrder(w http.ResponseWriter, r *http.Request) {
	var order orders.Order
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&order); err != nil {
		apierr.Write(w, apierr.Wrap(err, apierr.BadRequest, "the body is not an order: kind, server and role or model are needed"))
		return
	}
	result, err := h.Submit(r.Context(), order)
	if err != nil {
		h.Log.Info("order refused", "backend_server", order.Server, "kind", order.Kind, "error", err.Error())
		apierr.Write(w, orderAPIError(err))
		return
	}
	h.Log.Info("order carried out", "backend_server", order.Server, "kind", order.Kind, "order", result.OrderID, "out_s", result.OutSeconds)
	writeJSON(w, http.StatusOK, result)
}

func orderAPIError(err error) error {
	var invalid *orders.InvalidError
	var unknown *authority.UnknownError
	switch {
	case errors.As(err, &unknown):
		return apierr.Wrap(err, apierr.OutcomeUnknown, "the engine may or may not have taken the order")
	case errors.As(err, &invalid):
		return apierr.Wrap(err, apierr.BadRequest, err.Error())
	case errors.Is(err, orders.ErrUnknownServer):
		return apierr.Wrap(err, apierr.NotFound, "there is no such engine")
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return apierr.Wrap(err, apierr.OutcomeUnknown, "the change goes on; its outcome was not waited for")
	default:
		return apierr.Wrap(err, apierr.Conflict, err.Error())
	}
}
