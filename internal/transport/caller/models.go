package caller

import (
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/openai"
	"foxtailward.example/foxtailward/internal/state/id"
)

// models serves GET /v1/models.
func (a *api) models(w http.ResponseWriter, r *http.Request) {
	names := a.desk.Models(contractOf(r))
	list := openai.ModelList{Object: openai.ObjectList, Data: make([]openai.Model, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, describeModel(name))
	}
	a.writeJSON(w, &list)
}

// model serves GET /v1/models/{model}.
func (a *api) model(w http.ResponseWriter, r *http.Request) {
	name := id.Model(chi.URLParam(r, "model"))
	if !slices.Contains(a.desk.Models(contractOf(r)), name) {
		a.refuse(w, r, answer.NewRefusal(answer.CauseNotFound, "the contract has no such model"))
		return
	}
	model := describeModel(name)
	a.writeJSON(w, &model)
}

func describeModel(name id.Model) openai.Model {
	return openai.Model{ID: string(name), Object: openai.ObjectModel, OwnedBy: openai.Owner}
}
