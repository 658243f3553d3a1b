package loader

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"peridotpitch/internal/configurator"
)

// Guards against a key that docs/configuration.md lacks, describes differently from the
// code, or still lists after its removal.
func TestDocumentationListsEveryKey(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "configuration.md"))
	if err != nil {
		t.Fatal(err)
	}
	rest := string(page)
	for _, d := range append(configurator.Docs(), Docs()...) {
		before, after, found := strings.Cut(rest, d.Markdown())
		if !found {
			t.Errorf("docs/configuration.md lacks this part, or has it in another place:\n%s", d.Markdown())
			continue
		}
		rest = before + after
	}
	if row := regexp.MustCompile("(?m)^\\| `[A-Z].*$").FindString(rest); row != "" {
		t.Errorf("docs/configuration.md has a row for a key that does not exist: %s", row)
	}
}
