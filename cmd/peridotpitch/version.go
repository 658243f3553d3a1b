package main

import (
	"cmp"
	"debug/elf"
	"os"
	"runtime/debug"
	"strings"
	"sync"
)

const (
	// versionLength is the number of characters of a revision or build ID that the version has.
	versionLength = 12
	// buildIDNote is the section in which Go's linker writes the build ID, after noteHeaderBytes.
	buildIDNote     = ".note.go.buildid"
	noteHeaderBytes = 16
)

// programVersion returns the version of this program: the one that the linker was given, else the revision that it was
// built from, else the ID of its contents. During an upgrade, operators see by it which hosts run which build.
var programVersion = sync.OnceValue(func() string { return cmp.Or(version, revision(), buildID(), "development") })

// revision returns the revision of the sources, with a plus sign if they were changed. It is empty if the program was
// built without version control.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	var revision, modified string
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(versionLength, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+"
		}
	}
	if revision == "" {
		return ""
	}
	return revision + modified
}

// buildID returns the part of Go's build ID that identifies the contents of the program, and an empty string if it can't
// be read.
func buildID() string {
	path, err := os.Executable()
	if err != nil {
		return ""
	}
	f, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }() // opened for reading
	s := f.Section(buildIDNote)
	if s == nil {
		return ""
	}
	b, err := s.Data()
	if err != nil || len(b) < noteHeaderBytes {
		return ""
	}
	id := strings.TrimRight(string(b[noteHeaderBytes:]), "\x00")
	id = id[strings.LastIndexByte(id, '/')+1:]
	return id[:min(versionLength, len(id))]
}
