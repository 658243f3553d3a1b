package configurator

import (
	"errors"
	"fmt"
)

// RefusalReason says why a record or a submission is refused.
type RefusalReason string

// Refusal reasons.
const (
	RefusedUnsigned       RefusalReason = "unsigned"
	RefusedUnknownKey     RefusalReason = "unknown key"
	RefusedWrongSignature RefusalReason = "wrong signature"
	RefusedInvalid        RefusalReason = "invalid text"
	RefusedStale          RefusalReason = "stale"
	RefusedTooLarge       RefusalReason = "too large"
)

// RefusedError reports that a record or a submission is refused.
type RefusedError struct {
	Reason            RefusalReason
	Generation        uint64 // of the refused text, 0 if unknown
	CurrentGeneration uint64 // generation adopted or in effect where the text was refused
	Key               string // name of the signing key
	Invalid           *InvalidError
	Detail            string
}

func (e *RefusedError) Error() string {
	s := fmt.Sprintf("configuration generation %d refused: %s", e.Generation, e.Reason)
	if e.Generation == 0 {
		s = fmt.Sprintf("configuration refused: %s", e.Reason)
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Invalid != nil {
		s += "\n" + e.Invalid.Error()
	}
	return s
}

// Unwrap returns the list of faults of the text, nil if there is none.
func (e *RefusedError) Unwrap() error {
	if e.Invalid == nil {
		return nil
	}
	return e.Invalid
}

// VerifyText checks the signature and then the text, and returns the parsed
// configuration. Its errors are of type *RefusedError.
func VerifyText(text, signature []byte, key string, keys Keys) (*Configuration, error) {
	if len(signature) == 0 || key == "" {
		return nil, &RefusedError{Reason: RefusedUnsigned, Key: key, Detail: "signature and key name are required"}
	}
	public, ok := keys[key]
	if !ok {
		return nil, &RefusedError{Reason: RefusedUnknownKey, Key: key,
			Detail: fmt.Sprintf("key %q is not in the entry host's settings", key)}
	}
	if !Verify(text, signature, public) {
		return nil, &RefusedError{Reason: RefusedWrongSignature, Key: key,
			Detail: fmt.Sprintf("signature does not match the text under key %q", key)}
	}
	c, err := Parse(text)
	if err == nil {
		return c, nil
	}
	refused := &RefusedError{Reason: RefusedInvalid, Key: key}
	if !errors.As(err, &refused.Invalid) {
		refused.Detail = err.Error()
	}
	return nil, refused
}

// Adopter decides which configuration an entry host uses. It is not safe for
// concurrent use.
type Adopter struct {
	keys    Keys
	current *Configuration
	record  Record
}

// NewAdopter returns an adopter that has adopted no configuration.
func NewAdopter(keys Keys) *Adopter {
	return &Adopter{keys: keys}
}

// Generation returns the adopted generation, 0 before the first adoption.
func (a *Adopter) Generation() uint64 { return a.record.Generation }

// Current returns the adopted record and its configuration, nil before the first
// adoption. The caller must not change them.
func (a *Adopter) Current() (Record, *Configuration) { return a.record, a.current }

// Offer adopts r if its generation is higher than any adopted before, its signature is
// valid under a key of the settings, and its text is valid. Otherwise it changes
// nothing and returns a *RefusedError.
func (a *Adopter) Offer(r Record) (*Configuration, error) {
	c, err := a.check(r)
	if err != nil {
		return nil, err
	}
	a.record, a.current = r, c
	return c, nil
}

// OfferAll adopts the highest valid generation among rs and skips records that are not
// valid. It returns nil and the refusals if none is adopted. Entry hosts use it for the
// answers of their peers when the store is unavailable at start.
func (a *Adopter) OfferAll(rs []Record) (*Configuration, error) {
	var best *Configuration
	var record Record
	var refusals []error
	for _, r := range rs {
		if best != nil && r.Generation <= record.Generation {
			continue
		}
		c, err := a.check(r)
		if err != nil {
			refusals = append(refusals, err)
			continue
		}
		best, record = c, r
	}
	if best == nil {
		return nil, errors.Join(refusals...)
	}
	a.record, a.current = record, best
	return best, nil
}

func (a *Adopter) check(r Record) (*Configuration, error) {
	if r.Generation <= a.record.Generation {
		return nil, &RefusedError{Reason: RefusedStale, Generation: r.Generation, CurrentGeneration: a.record.Generation, Key: r.Key,
			Detail: fmt.Sprintf("generation %d is already adopted", a.record.Generation)}
	}
	c, err := VerifyText([]byte(r.Text), r.Signature, r.Key, a.keys)
	var refused *RefusedError
	if errors.As(err, &refused) {
		refused.Generation, refused.CurrentGeneration = r.Generation, a.record.Generation
		return nil, refused
	}
	if c.Generation != r.Generation {
		// Only the generation in the text is covered by the signature.
		return nil, &RefusedError{Reason: RefusedInvalid, Generation: r.Generation, CurrentGeneration: a.record.Generation, Key: r.Key,
			Detail: fmt.Sprintf("record says generation %d, its signed text says %d", r.Generation, c.Generation)}
	}
	return c, nil
}
