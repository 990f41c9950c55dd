package caller

import (
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/openai"
	"foxtailward.example/foxtailward/internal/state/id"
)

// listModels serves GET /v1/models.
func (a *api) listModels(w http.ResponseWriter, r *http.Request) {
	names := a.handlers.Models(contractOf(r))
	list := openai.ModelList{Object: openai.ObjectList, Data: make([]openai.Model, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, describeModel(name))
	}
	a.writeJSON(w, &list)
}

// getModel serves GET /v1/models/{model}.
func (a *api) getModel(w http.ResponseWriter, r *http.Request) {
	name := id.Model(chi.URLParam(r, "model"))
	if !slices.Contains(a.handlers.Models(contractOf(r)), name) {
		a.refuse(w, r, answer.NewRefusal(answer.CauseNotFound, "the contract has no such model"))
		return
	}
	model := describeModel(name)
	a.writeJSON(w, &model)
}

func describeModel(name id.Model) openai.Model {
	return openai.Model{ID: string(name), Object: openai.ObjectModel, OwnedBy: openai.Owner}
}
