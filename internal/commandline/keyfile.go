package commandline

import (
	"crypto/ed25519"
	"os"

	"github.com/ansel1/merry/v2"

	"peridotpitch/internal/configurator"
)

// keyFileMode is the widest file mode that is accepted for a private key: access by its
// owner only.
const keyFileMode = 0o600

// writeKeyFile writes a private key to a new file.
func writeKeyFile(path string, key ed25519.PrivateKey) error {
	text, err := configurator.EncodePrivateKey(key)
	if err != nil {
		return err
	}
	// O_EXCL prevents overwriting an existing key.
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return merry.Prepend(err, "write private key")
	}
	_, err = f.Write(text)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// readKeyFile reads a private key. It refuses a file to which others than its owner have
// access, because anyone who can read the key can sign in the operator's name.
func readKeyFile(path string) (ed25519.PrivateKey, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Prepend(err, "read private key")
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return nil, merry.Prepend(err, "read private key")
	}
	if mode := info.Mode().Perm(); mode&^keyFileMode != 0 {
		return nil, merry.Errorf("private key %s has mode %04o, want %04o: run chmod 600 %s and consider whether others have read it", path, mode, keyFileMode, path)
	}
	text := make([]byte, maxKeyFileSize)
	n, err := f.Read(text)
	if err != nil {
		return nil, merry.Prependf(err, "read private key %s", path)
	}
	key, err := configurator.DecodePrivateKey(text[:n])
	return key, merry.Prependf(err, "%s", path)
}

// maxKeyFileSize is the maximum size of a key file in bytes. A PEM file has about 120.
const maxKeyFileSize = 4096
