package commandline

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/publisher"
)

// signatureSuffix is appended to the path of a configuration text to get the default path
// of its signature file.
const signatureSuffix = ".sig"

var configCommands = []command{
	{name: "config keygen", summary: "Create an operator's key pair; print the public key for the settings files.", setup: keygen},
	{name: "config check", arguments: "TEXT", minArguments: 1, maxArguments: 1, summary: "Check a configuration text and list every fault.", setup: checkText},
	{name: "config diff", arguments: "OLD NEW", minArguments: 2, maxArguments: 2, summary: "Show the differences between two configuration texts.", setup: diffTexts},
	{name: "config sign", arguments: "TEXT", minArguments: 1, maxArguments: 1, summary: "Sign a valid configuration text.", setup: signText},
	{name: "config apply", arguments: "TEXT", minArguments: 1, maxArguments: 1, remote: true, summary: "Apply a signed configuration text.", setup: applyText},
	{name: "config show", remote: true, summary: "Show the configuration in effect.", setup: showConfiguration},
	{name: "config history", remote: true, summary: "List the latest configurations, newest first.", setup: showHistory},
}

// The functions below set up one subcommand each: they declare its flags and return the
// function that executes it.

func keygen(fs *flag.FlagSet) func(*call) error {
	name := fs.String("name", "", "`name` of the operator")
	out := fs.String("out", "", "`file` for the private key; must not exist")
	return func(c *call) error {
		if *name == "" || *out == "" {
			return usagef("flags -name and -out are required")
		}
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return err
		}
		if err := writeKeyFile(*out, private); err != nil {
			return err
		}
		encoded := configurator.EncodePublicKey(public)
		return c.show(struct{ Name, PublicKey, PrivateKeyFile string }{*name, encoded, *out}, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "[OperatorKey %q]\nPublicKey = %s\n", *name, encoded)
		})
	}
}

// readText reads, parses and checks a configuration text.
func readText(path string) ([]byte, *configurator.Configuration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, merry.Prepend(err, "read configuration")
	}
	c, err := configurator.Parse(text)
	var invalid *configurator.InvalidError
	if errors.As(err, &invalid) {
		invalid.Name = path
	}
	return text, c, err
}

func checkText(*flag.FlagSet) func(*call) error {
	return func(c *call) error {
		_, parsed, err := readText(c.arguments[0])
		if err != nil {
			return err
		}
		return c.show(parsed, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%s: generation %d is valid: %d failure domains, %d entry hosts, %d workers, %d services, %d job classes, %d teams\n",
				c.arguments[0], parsed.Generation, len(parsed.FailureDomains), len(parsed.EntryHosts), len(parsed.Workers),
				len(parsed.Services), len(parsed.JobClasses), len(parsed.Teams))
		})
	}
}

func diffTexts(*flag.FlagSet) func(*call) error {
	return func(c *call) error {
		_, a, errA := readText(c.arguments[0])
		_, b, errB := readText(c.arguments[1])
		if err := errors.Join(errA, errB); err != nil {
			return err
		}
		changes := configurator.Changes(a, b)
		return c.show(changes, func(w io.Writer) {
			for _, d := range changes {
				_, _ = fmt.Fprintln(w, d)
			}
			if len(changes) == 0 {
				_, _ = fmt.Fprintln(w, "no differences")
			}
		})
	}
}

func signText(fs *flag.FlagSet) func(*call) error {
	keyFile := fs.String("key", "", "`file` of the private key")
	out := fs.String("out", "", "`file` for the signature; default TEXT"+signatureSuffix)
	return func(c *call) error {
		if *keyFile == "" {
			return usagef("flag -key is required")
		}
		path := *out
		if path == "" {
			path = c.arguments[0] + signatureSuffix
		}
		text, parsed, err := readText(c.arguments[0])
		if err != nil {
			return err
		}
		key, err := readKeyFile(*keyFile)
		if err != nil {
			return err
		}
		signature := base64.StdEncoding.EncodeToString(configurator.Sign(text, key))
		if err := os.WriteFile(path, []byte(signature+"\n"), 0o644); err != nil {
			return merry.Prepend(err, "write signature")
		}
		return c.show(struct {
			Generation    uint64
			SignatureFile string
		}{parsed.Generation, path}, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "generation %d signed: %s\n", parsed.Generation, path)
		})
	}
}

// readSignature reads a signature file as written by config sign.
func readSignature(path string) ([]byte, error) {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "read signature")
	}
	signature, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(encoded)))
	if err != nil || len(signature) != ed25519.SignatureSize {
		return nil, merry.Errorf("%s: line 1: signature is not accepted; allowed: one line of base64 that encodes %d bytes, as written by config sign", path, ed25519.SignatureSize)
	}
	return signature, nil
}

func applyText(fs *flag.FlagSet) func(*call) error {
	keyName := fs.String("key-name", "", "`name` of the signing key in the entry hosts' settings")
	signatureFile := fs.String("signature", "", "`file` of the signature; default TEXT"+signatureSuffix)
	by := fs.String("by", "", "`name` of the person who applies the text; default $USER, else the key's name")
	return func(c *call) error {
		if *keyName == "" {
			return usagef("flag -key-name is required")
		}
		path := *signatureFile
		if path == "" {
			path = c.arguments[0] + signatureSuffix
		}
		text, parsed, err := readText(c.arguments[0])
		if err != nil {
			return err
		}
		signature, err := readSignature(path)
		if err != nil {
			return err
		}
		s := publisher.Submission{Text: string(text), Signature: signature, Key: *keyName, Replaces: parsed.Replaces, AppliedBy: *by}
		if s.AppliedBy == "" {
			s.AppliedBy = c.Getenv("USER")
		}
		if s.AppliedBy == "" {
			s.AppliedBy = *keyName
		}
		applied, err := c.client.ApplyConfiguration(c.ctx, s)
		if err != nil {
			return err
		}
		return c.show(applied, func(w io.Writer) {
			if applied.AlreadyInEffect {
				_, _ = fmt.Fprintf(w, "generation %d is already in effect\n", applied.Record.Generation)
				return
			}
			_, _ = fmt.Fprintf(w, "generation %d applied by %s\n%s", applied.Record.Generation, applied.Record.AppliedBy, applied.Diff)
		})
	}
}

func showConfiguration(fs *flag.FlagSet) func(*call) error {
	textOnly := fs.Bool("text", false, "print only the signed text, byte for byte")
	return func(c *call) error {
		v, err := c.client.ShowConfiguration(c.ctx)
		if err != nil {
			return err
		}
		if *textOnly && !c.json {
			_, err := io.WriteString(c.Stdout, v.Record.Text)
			return err
		}
		return c.show(v, func(w io.Writer) {
			r := v.Record
			row(w, "Generation", r.Generation)
			row(w, "Applied by", r.AppliedBy)
			row(w, "Applied at", formatTime(r.AppliedAt))
			row(w, "Key", r.Key)
			row(w, "In effect", fmt.Sprintf("%s on %s", formatAge(v.InEffectFor), v.Host))
			_, _ = fmt.Fprintln(w)
			row(w, "HOST", "GENERATION", "IN EFFECT FOR", "HEARTBEAT AGE")
			for _, h := range v.Hosts {
				row(w, h.Host, h.Generation, formatAge(h.InEffectFor), formatAge(h.HeardAgo))
			}
			_, _ = fmt.Fprintf(w, "\n%s", r.Text)
		})
	}
}

func showHistory(fs *flag.FlagSet) func(*call) error {
	limit := 20
	countFlag(fs, &limit, publisher.MaxHistoryRecords, "configurations")
	return func(c *call) error {
		rs, err := c.client.ConfigurationHistory(c.ctx, limit)
		if err != nil {
			return err
		}
		return c.show(rs, func(w io.Writer) {
			row(w, "GENERATION", "APPLIED AT", "APPLIED BY", "KEY", "ENTRY HOST PROCESS")
			for _, r := range rs {
				row(w, r.Generation, formatTime(r.AppliedAt), r.AppliedBy, r.Key, r.Writer)
			}
		})
	}
}
