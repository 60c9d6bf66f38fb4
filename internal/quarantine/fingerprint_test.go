package quarantine

import "testing"

func TestFingerprintDistinguishesRequests(t *testing.T) {
	request := Identity{Tenant: "acme", Method: "POST", Host: "h.example", Target: "/save/1", Body: []byte("body")}
	same := FingerprintOf(request)
	others := map[string]Identity{
		"caller":            {"other", "POST", "h.example", "/save/1", []byte("body")},
		"method":            {"acme", "PUT", "h.example", "/save/1", []byte("body")},
		"host":              {"acme", "POST", "g.example", "/save/1", []byte("body")},
		"target":            {"acme", "POST", "h.example", "/save/1?a=b", []byte("body")},
		"body":              {"acme", "POST", "h.example", "/save/1", []byte("other body")},
		"boundary of parts": {"acme", "POST", "h.example/", "save/1", []byte("body")},
	}
	for what, other := range others {
		if FingerprintOf(other) == same {
			t.Errorf("different %s gives the same fingerprint", what)
		}
	}
	if FingerprintOf(request) != same {
		t.Error("equal requests have different fingerprints")
	}
}

func TestParseFingerprint(t *testing.T) {
	fingerprint := FingerprintOf(Identity{Target: "/"})
	if read, ok := ParseFingerprint(fingerprint.String()); !ok || read != fingerprint {
		t.Errorf("parsed as %v, %v", read, ok)
	}
	for _, text := range []string{"", "zz", fingerprint.Short(), fingerprint.String() + "00"} {
		if _, ok := ParseFingerprint(text); ok {
			t.Errorf("%q was parsed as a fingerprint", text)
		}
	}
}
