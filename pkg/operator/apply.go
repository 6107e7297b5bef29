package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Apply is the body of POST /api/v1/apply: one change, accepted whole or not at all.
type Apply struct {
	// OpID makes the write recognisable when it is sent again; made up when left out.
	OpID   string      `json:"opId,omitempty"`
	DryRun bool        `json:"dryRun,omitempty"`
	Put    []ApplyItem `json:"put,omitempty"`
	Delete []ApplyRef  `json:"delete,omitempty"`
	// Prune deletes every resource that Put doesn't name.
	Prune bool `json:"prune,omitempty"`
	// Base is the configuration version that the operator looked at; null doesn't care.
	Base *uint64 `json:"base,omitempty"`
}

// ApplyItem is one resource to write. Expect is the resource version that the
// operator looked at (0: it must not exist); null takes the resource's own version.
type ApplyItem struct {
	Resource resource.Document `json:"resource"`
	Expect   *uint64           `json:"expect,omitempty"`
}

// ApplyRef is one resource to delete.
type ApplyRef struct {
	resource.Ref
	Expect *uint64 `json:"expect,omitempty"`
}

func (a *API) apply(ctx context.Context, r *http.Request) (answer, error) {
	var body Apply
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return answer{}, badBody(err)
	}
	ops, err := body.ops()
	if err != nil {
		return answer{}, err
	}
	change := config.Change{OpID: opID(body.OpID), Ops: ops, Prune: body.Prune, Base: body.Base}
	return a.write(ctx, change, body.DryRun)
}

func badBody(err error) error {
	var invalid *resource.Invalid
	var tooLarge *http.MaxBytesError
	if errors.As(err, &invalid) || errors.As(err, &tooLarge) {
		return err
	}
	return failure(http.StatusBadRequest, CodeBadRequest, "the body isn't an apply request: "+err.Error())
}

// ops refuses a resource that is named twice: which of the two wins would be chance.
func (b Apply) ops() ([]resource.Op, error) {
	var ops []resource.Op
	for _, item := range b.Put {
		if item.Resource.Resource == nil {
			return nil, failure(http.StatusBadRequest, CodeBadRequest, "an item of put has no resource")
		}
		op := resource.PutOp(item.Resource.Resource)
		if item.Expect != nil {
			op.Expect = item.Expect
		}
		ops = append(ops, op)
	}
	for _, ref := range b.Delete {
		ops = append(ops, resource.Op{Ref: ref.Ref, Expect: ref.Expect})
	}
	return ops, twice(ops)
}

func twice(ops []resource.Op) error {
	seen := make(map[resource.Ref]bool)
	invalid := &resource.Invalid{}
	for _, op := range ops {
		if seen[op.Ref] {
			invalid.Fields = append(invalid.Fields, resource.FieldError{Kind: op.Ref.Kind, Name: op.Ref.Name, Field: "name", Text: "is named twice in one change"})
		}
		seen[op.Ref] = true
	}
	if len(invalid.Fields) > 0 {
		return invalid
	}
	return nil
}
