package callerserver

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/quetzalroad/quetzalroad"
)

// servicePrefix is the path prefix of plain services.
const servicePrefix = "/services/"

func (s *Server) handleService(x *exchange) error {
	segment, _, _ := strings.Cut(strings.TrimPrefix(x.request.URL.Path, servicePrefix), "/")
	name := quetzalroad.ServiceName(segment)
	service, ok := s.node.Directory.Service(name)
	if !ok || service.Kind != quetzalroad.ServiceKindPlain {
		return quetzalroad.NewRefusal(quetzalroad.ReasonUnknownService, "there is no plain service "+strconv.Quote(string(name)), 0)
	}
	request, err := x.newServiceRequest(service)
	if err != nil {
		return err
	}
	response, err := s.node.Dispatcher.Call(x.request.Context(), request)
	if err != nil {
		return err
	}
	if response.Release != nil {
		defer response.Release()
	}
	header := x.writer.Header()
	for field, values := range response.Header {
		header[field] = values
	}
	header.Del("Content-Length")
	header.Set(fieldOutcome, string(quetzalroad.OutcomeCompleted))
	x.responseStarted = true
	x.writer.WriteHeader(response.Status)
	if x.request.Method == http.MethodHead {
		return nil
	}
	return x.wrapWriteError(x.write(response.Body))
}

func (x *exchange) newServiceRequest(service quetzalroad.Service) (*quetzalroad.ServiceRequest, error) {
	body, err := x.readBody()
	if err != nil {
		return nil, err
	}
	profile, err := x.resolveProfile(service.DefaultProfile)
	if err != nil {
		return nil, err
	}
	key, err := x.idempotencyKey()
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
			Idempotent: x.isIdempotent(profile), IdempotencyKey: key,
		},
		Method: x.request.Method, Path: path, Query: x.request.URL.RawQuery, Header: header, Body: body,
	}, nil
}

// isIdempotent reports whether the request may be executed twice: its method is
// safe, or the caller named an idempotent profile. A default profile doesn't count:
// it says nothing about requests with an unsafe method.
func (x *exchange) isIdempotent(profile quetzalroad.Profile) bool {
	switch x.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return profile.Idempotent && x.request.Header.Get(fieldProfile) != ""
}
