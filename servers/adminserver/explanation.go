package adminserver

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/explanationmapper"
	"github.com/quetzalroad/quetzalroad/support/prefixhasher"
)

// handleRoute explains where a request would go, without sending it.
func (s *Server) handleRoute(w http.ResponseWriter, r bunrouter.Request) error {
	if s.node.RouteExplainer == nil {
		return newStatusError(http.StatusNotImplemented, "not-implemented", "the node's dispatcher doesn't explain where requests go")
	}
	query := r.URL.Query()
	request, err := s.describedRequest(query)
	if err != nil {
		return err
	}
	split, err := s.describedServices(query, request)
	if err != nil {
		return err
	}
	answer := explanationmapper.Answer{Node: s.node.Name}
	if err := s.node.Ready(); err != nil {
		answer.NotReadyReason = err.Error()
	}
	if answer.Services, err = s.explainServices(split, *request); err != nil {
		return err
	}
	data, err := explanationmapper.Encode(answer)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, json.RawMessage(data))
	return nil
}

// describedRequest returns the request that a query describes, without its service.
func (s *Server) describedRequest(query url.Values) (*quetzalroad.Request, error) {
	request := &quetzalroad.Request{Model: quetzalroad.ModelName(query.Get("model")), Arrived: time.Now()}
	segments, err := parseSegments(query["segment"])
	if err != nil {
		return nil, err
	}
	request.PrefixHash, request.SharedPromptTokens = prefixhasher.Shared(segments)
	for _, segment := range segments {
		request.PromptTokens += segment.Tokens
	}
	for name, target := range map[string]*int{"prompt-tokens": &request.PromptTokens, "max-tokens": &request.MaxTokens} {
		if !query.Has(name) {
			continue
		}
		if *target, err = parseCount(name, query.Get(name)); err != nil {
			return nil, err
		}
	}
	if name := query.Get("profile"); name != "" {
		profile, ok := s.node.Directory.Profile(quetzalroad.ProfileName(name))
		if !ok {
			return nil, newStatusError(http.StatusNotFound, "not-found", "there is no profile %q", name)
		}
		request.Profile = profile
	}
	return request, nil
}

// maxCount is the largest number of tokens that a query may state.
const maxCount = 1 << 30

func parseCount(name, text string) (int, error) {
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 || count > maxCount {
		return 0, newStatusError(http.StatusBadRequest, "malformed", "%s %q is not between 0 and %d", name, text, maxCount)
	}
	return count, nil
}

// parseSegments parses the segments of a prompt, each as ID:TOKENS.
func parseSegments(texts []string) ([]quetzalroad.PromptSegment, error) {
	var segments []quetzalroad.PromptSegment
	for _, text := range texts {
		separator := strings.LastIndexByte(text, ':')
		if separator < 1 {
			return nil, newStatusError(http.StatusBadRequest, "malformed", "segment %q is not ID:TOKENS", text)
		}
		tokens, err := parseCount("segment", text[separator+1:])
		if err != nil {
			return nil, err
		}
		segments = append(segments, quetzalroad.PromptSegment{ID: text[:separator], Tokens: tokens})
	}
	return segments, nil
}

// describedServices returns the services that the described request may go to. If a route leads there, it also sets
// the profile, unless the query states one.
func (s *Server) describedServices(query url.Values, request *quetzalroad.Request) ([]quetzalroad.WeightedService, error) {
	switch {
	case query.Get("service") != "":
		return []quetzalroad.WeightedService{{Service: quetzalroad.ServiceName(query.Get("service")), Weight: 1}}, nil
	case query.Get("path") != "":
		return s.routedServices(query, request)
	case request.Model != "":
		service, ok := s.node.Directory.ServiceForModel(request.Model)
		if !ok {
			return nil, newStatusError(http.StatusNotFound, "not-found", "no service has the model %q", request.Model)
		}
		return []quetzalroad.WeightedService{{Service: service.Name, Weight: 1}}, nil
	}
	return nil, newStatusError(http.StatusBadRequest, "malformed", "say where the request goes: a service, a path or a model")
}

func (s *Server) routedServices(query url.Values, request *quetzalroad.Request) ([]quetzalroad.WeightedService, error) {
	if s.node.RouteTable == nil {
		return nil, newStatusError(http.StatusNotImplemented, "not-implemented", "the node has no routes: state a service or a model")
	}
	route, ok := s.node.RouteTable.Match(query.Get("host"), query.Get("path"))
	if !ok {
		return nil, newStatusError(http.StatusNotFound, "not-found", "no route leads anywhere from host %q and path %q", query.Get("host"), query.Get("path"))
	}
	if query.Get("profile") == "" {
		request.Profile = route.Profile
	}
	return route.TrafficSplit, nil
}

// explainServices explains a request for each of the services that may get it.
func (s *Server) explainServices(split []quetzalroad.WeightedService, request quetzalroad.Request) ([]quetzalroad.RouteExplanation, error) {
	totalWeight := 0
	for _, w := range split {
		totalWeight += w.Weight
	}
	var all []quetzalroad.RouteExplanation
	for _, w := range split {
		service, ok := s.node.Directory.Service(w.Service)
		if !ok {
			return nil, newStatusError(http.StatusNotFound, "not-found", "there is no service %q", w.Service)
		}
		x := s.node.RouteExplainer.ExplainRoute(time.Now(), requestTo(service, request))
		x.Share = float64(w.Weight) / float64(max(1, totalWeight))
		all = append(all, x)
	}
	return all, nil
}

// requestTo returns the request to a service. One to engines that names no model asks for their first one.
func requestTo(service quetzalroad.Service, request quetzalroad.Request) *quetzalroad.Request {
	request.Service = service
	if request.Model == "" && len(service.Models) > 0 {
		request.Model = service.Models[0]
	}
	return &request
}
