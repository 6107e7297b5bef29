package fleettest

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

func (f *Fleet) operatorURL(i int) string {
	return "http://" + f.Routers[i].Settings.Listen.Operator + "/api/v1"
}

// get reads path of router i's operator API into v; a refusal is an *operator.Failure.
func (f *Fleet) get(ctx context.Context, i int, path string, v any) error {
	return f.operate(ctx, i, http.MethodGet, path, nil, v)
}

func (f *Fleet) operate(ctx context.Context, i int, method, path string, body, v any) error {
	status, answer, err := call(ctx, method, f.operatorURL(i)+path, f.Ready.OperatorToken, body)
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		return errors.Annotate(json.Unmarshal(answer, v), "decode the operator API's answer")
	}
	var failed operator.FailureBody
	if err := json.Unmarshal(answer, &failed); err != nil || failed.Error == nil {
		return errors.Errorf("%d without a failure in its body: %.200s", status, answer)
	}
	return failed.Error
}

// Status is what router i shows as in force.
func (f *Fleet) Status(ctx context.Context, i int) (operator.Status, error) {
	var s operator.Status
	err := f.get(ctx, i, "/status", &s)
	return s, err
}

// Write sends one operation to router i, once.
func (f *Fleet) Write(ctx context.Context, i int, op operator.Apply) (operator.Written, error) {
	var w operator.Written
	err := f.operate(ctx, i, http.MethodPost, "/apply", op, &w)
	return w, err
}

// Organisation reads an organisation at router i; nil when it doesn't exist.
func (f *Fleet) Organisation(ctx context.Context, i int, name string) (*resource.Organisation, error) {
	var doc resource.Document
	err := f.get(ctx, i, "/organisations/"+name, &doc)
	var failed *operator.Failure
	if errors.As(err, &failed) && failed.Code == operator.CodeNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	org, ok := doc.Resource.(*resource.Organisation)
	if !ok {
		return nil, errors.Errorf("%s isn't an organisation", name)
	}
	return org, nil
}

// Unsettled says that a write may be sent again with the same operation ID: it was
// refused by the table's outage, its answer was lost, or the router went away.
func Unsettled(err error) bool {
	var failed *operator.Failure
	if !errors.As(err, &failed) {
		return err != nil
	}
	return failed.Code == operator.CodeNotAccepted || failed.Code == operator.CodeUndecided
}

// Accept sends op to router i, again while it is unsettled, until it is accepted.
func (f *Fleet) Accept(i int, op operator.Apply) operator.Written {
	f.t.Helper()
	var written operator.Written
	f.Eventually("the change is accepted", func() (err error) {
		written, err = f.Write(f.Ctx, i, op)
		return err
	})
	return written
}

// WaitInForce waits until each router in list has version in force, or a newer one,
// and accepts callers with it.
func (f *Fleet) WaitInForce(version uint64, list []int) {
	f.t.Helper()
	f.EventuallyEach("the change is in force", list, func(i int) error {
		s, err := f.Status(f.Ctx, i)
		if err == nil && (s.InForce < version || s.Basis == config.BasisNone) {
			err = errors.Errorf("version %d by basis %s in place of %d", s.InForce, s.Basis, version)
		}
		return err
	})
}

// WaitBasis waits until each router in list shows the basis.
func (f *Fleet) WaitBasis(basis config.Basis, list []int) {
	f.t.Helper()
	f.EventuallyEach("basis "+string(basis), list, func(i int) error {
		s, err := f.Status(f.Ctx, i)
		if err == nil && s.Basis != basis {
			err = errors.Errorf("version %d by basis %s", s.InForce, s.Basis)
		}
		return err
	})
}

// SetFaults sets the platform's switches; zero faults end all.
func (f *Fleet) SetFaults(faults platform.Faults) {
	f.t.Helper()
	status, answer, err := call(f.Ctx, http.MethodPut, f.Ready.Platform+"/admin/faults", "", faults)
	require.NoError(f.t, err)
	require.Less(f.t, status, http.StatusMultipleChoices, "%s", answer)
}
