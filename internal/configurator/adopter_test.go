package configurator

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func testKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune(seed)), ed25519.SeedSize)))
}

// record returns a valid configuration of the generation, signed with key.
func record(t testing.TB, generation uint64, key ed25519.PrivateKey, name string) Record {
	text := strings.NewReplacer("Generation = 7", fmt.Sprintf("Generation = %d", generation),
		"Replaces = 6", fmt.Sprintf("Replaces = %d", generation-1)).Replace(readValid(t))
	return Record{Generation: generation, Text: text, Signature: Sign([]byte(text), key), Key: name}
}

// Guards against adopting a text that no operator signed, an old generation, or an invalid
// text. A refusal must leave the adopted configuration unchanged.
func TestAdopter(t *testing.T) {
	is := is.New(t)
	ana, other := testKey('a'), testKey('b')
	a := NewAdopter(Keys{"ana": ana.Public().(ed25519.PublicKey)})
	_, err := a.Offer(record(t, 5, ana, "ana"))
	is.NoErr(err)

	unsigned, altered, wrongGeneration, invalid := record(t, 6, ana, "ana"), record(t, 6, ana, "ana"), record(t, 6, ana, "ana"), record(t, 6, ana, "ana")
	unsigned.Signature = nil
	altered.Text += "# \n"
	wrongGeneration.Generation = 9 // the signed text says 6
	invalid.Text = "[Nothing]\n"
	invalid.Signature = Sign([]byte(invalid.Text), ana)
	for _, c := range []struct {
		r    Record
		want RefusalReason
	}{
		{record(t, 5, ana, "ana"), RefusedStale},
		{record(t, 4, ana, "ana"), RefusedStale},
		{unsigned, RefusedUnsigned},
		{altered, RefusedWrongSignature},
		{record(t, 6, other, "ana"), RefusedWrongSignature},
		{record(t, 6, other, "other"), RefusedUnknownKey},
		{invalid, RefusedInvalid},
		{wrongGeneration, RefusedInvalid},
	} {
		_, err := a.Offer(c.r)
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, c.want)
		is.Equal(a.Generation(), uint64(5)) // unchanged
	}
	c, err := a.Offer(record(t, 6, ana, "ana"))
	is.NoErr(err)
	is.Equal(c.Generation, uint64(6))
}

// Guards against adopting an old generation, or one that cannot be verified, from the
// answers of peers when an entry host starts while the store is unavailable.
func TestAdopterOfferAll(t *testing.T) {
	is := is.New(t)
	ana, other := testKey('a'), testKey('b')
	a := NewAdopter(Keys{"ana": ana.Public().(ed25519.PublicKey)})
	_, err := a.OfferAll([]Record{{}, record(t, 9, other, "ana")})
	is.True(err != nil)
	is.Equal(a.Generation(), uint64(0))
	c, err := a.OfferAll([]Record{record(t, 3, ana, "ana"), record(t, 9, other, "ana"), record(t, 8, ana, "ana"), record(t, 7, ana, "ana")})
	is.NoErr(err)
	is.Equal(c.Generation, uint64(8))
}

// Guards against key files that one command writes and another cannot read, and against
// accepting a truncated, inconsistent or public key as a private key.
func TestPrivateKeyFormats(t *testing.T) {
	is := is.New(t)
	key := testKey('a')
	text, err := EncodePrivateKey(key)
	is.NoErr(err)
	seed := base64.StdEncoding.EncodeToString(key.Seed())
	for _, f := range []string{string(text), seed + "\n", base64.StdEncoding.EncodeToString(key)} {
		got, err := DecodePrivateKey([]byte(f))
		is.NoErr(err)
		is.True(got.Equal(key))
	}
	mixed := append(key.Seed(), testKey('b')[ed25519.SeedSize:]...)
	for _, f := range []string{"", seed[:20], "no key", base64.StdEncoding.EncodeToString(mixed), strings.ReplaceAll(string(text), "PRIVATE", "PUBLIC")} {
		_, err := DecodePrivateKey([]byte(f))
		is.True(err != nil)
	}
	public, err := DecodePublicKey(EncodePublicKey(key.Public().(ed25519.PublicKey)))
	is.NoErr(err)
	is.True(public.Equal(key.Public()))
}
