package callerserver

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/quetzalroad/quetzalroad"
)

// servicePrefix begins the paths of plain services.
const servicePrefix = "/services/"

func (s *Server) service(x *exchange) error {
	first, _, _ := strings.Cut(strings.TrimPrefix(x.request.URL.Path, servicePrefix), "/")
	name := quetzalroad.ServiceName(first)
	service, ok := s.node.Directory.Service(name)
	if !ok || service.Kind != quetzalroad.ServiceKindPlain {
		return quetzalroad.NewRefusal(quetzalroad.ReasonUnknownService, "there is no plain service "+strconv.Quote(string(name)), 0)
	}
	call, err := x.newCall(service)
	if err != nil {
		return err
	}
	answer, err := s.node.Dispatcher.Call(x.request.Context(), call)
	if err != nil {
		return err
	}
	h := x.response.Header()
	for field, values := range answer.Header {
		h[field] = values
	}
	h.Del("Content-Length")
	h.Set(fieldOutcome, string(quetzalroad.OutcomeCompleted))
	x.began = true
	x.response.WriteHeader(answer.Status)
	if x.request.Method == http.MethodHead {
		return nil
	}
	return x.sent(x.write(answer.Body))
}

func (x *exchange) newCall(service quetzalroad.Service) (*quetzalroad.ServiceRequest, error) {
	body, err := x.body()
	if err != nil {
		return nil, err
	}
	profile, err := x.profile(service.DefaultProfile)
	if err != nil {
		return nil, err
	}
	key, err := x.key()
	if err != nil {
		return nil, err
	}
	header := x.request.Header.Clone()
	header.Del("Authorization")
	path := strings.TrimPrefix(x.request.URL.EscapedPath(), servicePrefix+string(service.Name))
	if path == "" {
		path = "/"
	}
	return &quetzalroad.ServiceRequest{
		Request: quetzalroad.Request{
			ID: x.id, Team: x.team, Profile: profile, Service: service, Arrived: x.arrived,
			Idempotent: x.repeatable(profile), IdempotencyKey: key,
		},
		Method: x.request.Method, Path: path, Query: x.request.URL.RawQuery, Header: header, Body: body,
	}, nil
}

// repeatable tells whether a call may be run twice: where its method is safe,
// or where its caller chose a profile that says so. A profile that comes by
// default says nothing about a method that changes something.
func (x *exchange) repeatable(p quetzalroad.Profile) bool {
	switch x.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return p.Idempotent && x.request.Header.Get(fieldProfile) != ""
}
