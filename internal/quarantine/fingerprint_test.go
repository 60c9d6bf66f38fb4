package quarantine

import "testing"

func TestFingerprintsTellRequestsApart(t *testing.T) {
	request := Identity{Caller: "acme", Method: "POST", Host: "h.example", Target: "/save/1", Body: []byte("body")}
	same := FingerprintOf(request)
	others := map[string]Identity{
		"caller":                           {"other", "POST", "h.example", "/save/1", []byte("body")},
		"method":                           {"acme", "PUT", "h.example", "/save/1", []byte("body")},
		"host":                             {"acme", "POST", "g.example", "/save/1", []byte("body")},
		"target":                           {"acme", "POST", "h.example", "/save/1?a=b", []byte("body")},
		"body":                             {"acme", "POST", "h.example", "/save/1", []byte("other body")},
		"parts that join to the same text": {"acme", "POST", "h.example/", "save/1", []byte("body")},
	}
	for what, other := range others {
		if FingerprintOf(other) == same {
			t.Errorf("another %s has the same fingerprint", what)
		}
	}
	if FingerprintOf(request) != same {
		t.Error("the same request has another fingerprint")
	}
}

func TestFingerprintsAreReadBack(t *testing.T) {
	fingerprint := FingerprintOf(Identity{Target: "/"})
	if read, ok := ParseFingerprint(fingerprint.String()); !ok || read != fingerprint {
		t.Errorf("read back as %v, %v", read, ok)
	}
	for _, text := range []string{"", "zz", fingerprint.Short(), fingerprint.String() + "00"} {
		if _, ok := ParseFingerprint(text); ok {
			t.Errorf("%q is taken for a fingerprint", text)
		}
	}
}
