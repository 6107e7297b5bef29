package edge

import (
	"encoding/json"
	"net/http"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// modelsHandler lists models in the shape of the OpenAI client libraries.
type modelsHandler struct{ edge *Edge }

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (h *modelsHandler) serve(w http.ResponseWriter, _ *http.Request, c caller) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range c.catalog.Models() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "flamingowind"})
	}
	body, _ := json.Marshal(list)
	h.edge.write(w, http.StatusOK, "application/json", verdict.Ran, body)
}
