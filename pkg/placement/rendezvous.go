package placement

import (
	"github.com/flamingowind/flamingowind/internal/rendezvous"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// score ranks instances for a key by rendezvous hashing.
func score(key uint64, id upstream.ID) uint64 { return rendezvous.Score(key, string(id)) }
