package stricthttp

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// plainClient matches the making of an HTTP client whose responses are not checked.
	plainClient = regexp.MustCompile(`http\.(DefaultClient|DefaultTransport|Get|Head|Post|PostForm|ReadResponse)\b`)
	// ownTransport matches the making of a client, or of a transport that is to be passed to New.
	ownTransport = regexp.MustCompile(`http\.(Client|Transport){`)
)

// Guards against a reader of responses that does not go through this package.
func TestAllClientsAreStrict(t *testing.T) {
	for _, root := range []string{"../../internal", "../../cmd", "../../platform"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if found := plainClient.Find(text); found != nil {
				t.Errorf("%s: %s", path, found)
			}
			if ownTransport.Match(text) && !strings.Contains(string(text), "stricthttp.New(") {
				t.Errorf("%s: a transport that is not strict", path)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
