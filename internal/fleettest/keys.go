package fleettest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Key is the n-th API key of the organisation that PutKey writes.
func Key(n int) string { return fmt.Sprintf("key-of-the-course-%04d", n) }

// PutKey is a change that gives the organisation "course" its n-th key as the only
// one: all earlier keys are withdrawn.
func PutKey(n int) operator.Apply {
	sum := sha256.Sum256([]byte(Key(n)))
	org := &resource.Organisation{Meta: resource.Meta{Name: "course"}, Weight: 1, KeyHashes: []string{hex.EncodeToString(sum[:])}}
	return operator.Apply{
		OpID: fmt.Sprintf("put-key-%04d", n),
		Put:  []operator.ApplyItem{{Resource: resource.Document{Resource: org}}},
	}
}

// Opens says whether the key opens router i to callers: 200, or 401 and 503 that don't.
func (f *Fleet) Opens(i int, key string) (bool, error) {
	status, answer, err := call(f.Ctx, http.MethodGet, "http://"+f.Routers[i].Info.Entry+"/v1/models", key, nil)
	switch {
	case err != nil:
		return false, err
	case status == http.StatusOK:
		return true, nil
	case status == http.StatusUnauthorized, status == http.StatusServiceUnavailable:
		return false, nil
	default:
		return false, errors.Errorf("%d: %.200s", status, answer)
	}
}
