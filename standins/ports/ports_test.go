package ports

import "testing"

// TestFreeIsDistinct guards against two daemons that get the same port because the first one does not listen yet when the second
// one's is chosen.
func TestFreeIsDistinct(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		addresses, err := Free(4)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range addresses {
			if seen[a] {
				t.Fatalf("%s was handed out twice", a)
			}
			seen[a] = true
		}
	}
}

// TestBlocksAreDisjoint guards against test binaries that run at the same time and share ports.
func TestBlocksAreDisjoint(t *testing.T) {
	first := map[int]bool{}
	for range 3 {
		b, err := claimBlock()
		if err != nil {
			t.Fatal(err)
		}
		defer b.claim.Close()
		if first[b.first] {
			t.Fatalf("block %d was claimed twice", b.first)
		}
		first[b.first] = true
	}
}
