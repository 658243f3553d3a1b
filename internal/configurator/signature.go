package configurator

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Keys holds the operators' public keys by name.
type Keys map[string]ed25519.PublicKey

// privateKeyBlock is the PEM type of an unencrypted PKCS #8 private key.
const privateKeyBlock = "PRIVATE KEY"

// Sign returns the signature of the exact text.
func Sign(text []byte, key ed25519.PrivateKey) []byte {
	return ed25519.Sign(key, text)
}

// Verify reports whether signature is a valid signature of the exact text under key.
func Verify(text, signature []byte, key ed25519.PublicKey) bool {
	return len(key) == ed25519.PublicKeySize && len(signature) == ed25519.SignatureSize &&
		ed25519.Verify(key, text, signature)
}

// EncodePrivateKey returns the key as PEM (PKCS #8).
func EncodePrivateKey(key ed25519.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, merry.Prepend(err, "encode private key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: der}), nil
}

// DecodePrivateKey reads a private key in PEM (PKCS #8), or in one line of base64 that
// holds the 32-byte seed or the 64-byte key.
func DecodePrivateKey(text []byte) (ed25519.PrivateKey, error) {
	if block, _ := pem.Decode(text); block != nil {
		return decodePKCS8(block)
	}
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, merry.New("private key is neither PEM nor one line of base64")
	}
	switch len(raw) {
	case ed25519.SeedSize:
		return ed25519.NewKeyFromSeed(raw), nil
	case ed25519.PrivateKeySize:
		key := ed25519.NewKeyFromSeed(raw[:ed25519.SeedSize])
		if !key.Equal(ed25519.PrivateKey(raw)) {
			return nil, merry.New("private key's public half does not belong to its seed")
		}
		return key, nil
	}
	return nil, merry.Errorf("private key has %d bytes, an ed25519 key has %d (seed) or %d",
		len(raw), ed25519.SeedSize, ed25519.PrivateKeySize)
}

func decodePKCS8(block *pem.Block) (ed25519.PrivateKey, error) {
	if block.Type != privateKeyBlock {
		return nil, merry.Errorf("PEM block is %q, want %q", block.Type, privateKeyBlock)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, merry.Prepend(err, "decode private key")
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, merry.Errorf("private key is %T, want ed25519", key)
	}
	return private, nil
}

// EncodePublicKey returns the key as one line of base64, as in the settings file.
func EncodePublicKey(key ed25519.PublicKey) string {
	return base64.StdEncoding.EncodeToString(key)
}

// DecodePublicKey reads a public key from one line of base64.
func DecodePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, merry.New("public key is not base64")
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, merry.Errorf("public key has %d bytes, want %d", len(raw), ed25519.PublicKeySize)
	}
	return raw, nil
}
