package peer

import "github.com/flamingowind/flamingowind/pkg/wire"

// side says who dialled a connection.
type side bool

const (
	accepted side = false
	dialled  side = true
)

// prefersNew decides which of two live connections to one peer carries this router's
// frames: the older one (old) or the one that just came up (fresh).
//
// Guard: two routers that dial each other in the same moment get two connections. If
// each kept the one it saw first they would keep different ones, and each would close
// what the other uses. Both know who dialled, so both keep the one dialled by the
// smaller ID.
//
// Guard: a restarted peer comes in from a new process while the old connection still
// looks alive here; frames sent on it vanish until the idle timeout. The epochs (one
// random number for each process) differ then, and the fresh connection wins.
func prefersNew(self, peer wire.RouterID, old, fresh side, oldEpoch, freshEpoch uint64) bool {
	if oldEpoch != 0 && freshEpoch != 0 && oldEpoch != freshEpoch {
		return true
	}
	if old == fresh {
		return true
	}
	return fresh == side(self < peer)
}
