package devfleet

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"os"

	"github.com/juju/errors"
)

// newSecret returns a random secret that starts with its purpose.
func newSecret(purpose string) string { return purpose + "-" + rand.Text() }

// keyHash is the form of an API key that the configuration keeps: hex SHA-256.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func writeSecret(file, secret string) error {
	return errors.Annotate(os.WriteFile(file, []byte(secret+"\n"), 0o600), "write secret")
}
