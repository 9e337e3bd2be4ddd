package backup

import (
	"os"
	"testing"
)

// TestLoadEarlierVersion loads a backup file that an earlier version has written, and the folder that it was made from.
func TestLoadEarlierVersion(t *testing.T) {
	fromFile, err := Load("testdata/earlier-version.backup")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("../store/testdata/earlier-version")); err != nil {
		t.Fatal(err)
	}
	fromFolder, commands, err := OfStore(dir)
	if err != nil || commands != 3 {
		t.Fatalf("OfStore returned %d commands after the snapshot, error %v; want 3 commands", commands, err)
	}
	for name, b := range map[string]*Backup{"file": fromFile, "folder": fromFolder} {
		t.Run(name, func(t *testing.T) {
			if b.Term != 3 || b.Index != 11 || b.State.Revision() != 11 || len(b.State.Config().Routes) != 501 {
				t.Errorf("term %d, index %d, revision %d, %d routes; want 3, 11, 11, 501", b.Term, b.Index, b.State.Revision(), len(b.State.Config().Routes))
			}
			servers := b.State.Servers()
			if len(servers) != 2 || servers[0].Member != "s-2" || !servers[0].Draining || servers[1].Member != "s-3" || servers[1].Draining {
				t.Errorf("servers are %v, want s-2 draining and s-3 not draining", servers)
			}
		})
	}
}
