package fleet

import (
	"bytes"
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// noticesRestore reports whether the store was restored from a copy since the list was last read, and this router is
// one of those that look at once what the copy lacks.
func (j *Joiner) noticesRestore() bool {
	return j.registry.Era() > max(1, j.era) && j.fleet.Rank() < restorers
}

// restoreSecret writes the fleet's secret again if the store, which returned listed, has lost it. If another one is
// there, a second fleet was founded meanwhile: its secret holds, so that both become one again.
func (j *Joiner) restoreSecret(ctx context.Context, listed []byte) error {
	own := j.fleet.Secret()
	if own == nil || bytes.Equal(own, listed) {
		return nil
	}
	if listed == nil {
		var err error
		if listed, err = j.registry.Secret(ctx, own); err != nil {
			return errors.Trace(err)
		}
		j.log.WithFields(log.Fields{"event": "secret_restored", "era": j.registry.Era()}).Warn("the store had lost the fleet's secret")
	}
	if !bytes.Equal(own, listed) {
		j.log.WithFields(log.Fields{"event": "secret_replaced", "era": j.registry.Era()}).Warn("the store has another secret, which the fleet takes over")
		j.fleet.SetSecret(listed)
	}
	return nil
}

// findOrCreateSecret returns the secret for a store that has none.
func (j *Joiner) findOrCreateSecret(ctx context.Context) ([]byte, error) {
	if j.registry.Era() <= 1 {
		return j.createSecret(ctx)
	}
	if secret := j.secretFromSeeds(); secret != nil {
		return j.registry.Secret(ctx, secret)
	}
	if time.Since(*j.askedAt.Load()) < foundingDelay {
		return nil, errAwaitsSecret
	}
	return j.createSecret(ctx)
}
