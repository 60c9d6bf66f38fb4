package standin

import (
	"net/http"
)

// Server serves a stand-in on a TCP address.
type Server struct{}

// Listen opens a listener without serving yet, so that the bound address can go
// into the stand-in's options. An address such as 127.0.0.1:0 picks a free port.
func Listen(address string) (*Server, error) { return &Server{}, nil }

// Address returns the bound host:port.
func (s *Server) Address() string { return "" }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Serve starts to serve a handler in the background.
func (s *Server) Serve(handler http.Handler) {}

// Close closes the listener and all connections, without waiting.
func (s *Server) Close() {}
