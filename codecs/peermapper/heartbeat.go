// Package peermapper maps the messages between nodes to and from their wire
// types.
package peermapper

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

// Mapper maps heartbeats. Upstreams and teams are told by the revision at which
// they stand; those that an end doesn't know, as its state differs, are left
// out.
type Mapper struct {
	Directory quetzalroad.Directory
}

// EncodeHeartbeat gives the wire form of a heartbeat.
func (m Mapper) EncodeHeartbeat(h quetzalroad.Heartbeat) *peerwire.Heartbeat {
	w := &peerwire.Heartbeat{
		Node: string(h.From.Name), DataCentre: string(h.From.DataCentre), Region: string(h.Region),
		Address: h.From.Address.String(), Stopping: h.Stopping, Far: h.CrossDataCentre,
		Teams: m.encodeTeams(h.TeamDemands), Loads: m.encodeLoads(h.Loads),
	}
	for _, x := range h.AppliedOffsets {
		w.Heads = append(w.Heads, &peerwire.Head{Stream: string(x.Stream), Offset: int64(x.Offset)})
	}
	for _, x := range h.Reports {
		if u, ok := m.Directory.Upstream(x.Upstream); ok {
			w.Reports = append(w.Reports, &peerwire.Report{
				Revision: uint64(u.Revision), TakenUs: x.Report.MeasuredAt.UnixMicro(),
				Running: uint32(x.Report.Running), Waiting: uint32(x.Report.Waiting), Leaving: x.Report.Leaving,
			})
		}
	}
	for _, x := range h.ServiceDemands {
		w.Services = append(w.Services, &peerwire.ServiceDemand{Service: string(x.Service), Wanted: encodeTiers(x.Requests)})
	}
	for _, x := range h.DataCentreDemands {
		place := &peerwire.Place{DataCentre: string(x.DataCentre), TakenUs: x.MeasuredAt.UnixMicro(), Teams: m.encodeTeams(x.TeamDemands)}
		for _, r := range x.Headroom {
			place.Rooms = append(place.Rooms, &peerwire.ServiceRoom{Service: string(r.Service), Free: uint32(max(0, r.Free))})
		}
		w.Places = append(w.Places, place)
	}
	for _, x := range h.Drains {
		w.Drains = append(w.Drains, &peerwire.Drain{Upstream: string(x.Upstream), Id: string(x.ID), Author: x.Author, Base: int64(x.BaseRevision), AskedUs: x.RequestedAt.UnixMicro()})
	}
	for _, x := range h.KnownPeers {
		w.Nodes = append(w.Nodes, &peerwire.Node{Name: string(x.Name), DataCentre: string(x.DataCentre), Address: x.Address.String()})
	}
	return w
}

// encodeTiers leaves out the zeros at the end.
func encodeTiers(wanted [quetzalroad.MaxTiers]int) []uint32 {
	var w []uint32
	for i, n := range wanted {
		if n == 0 {
			continue
		}
		for len(w) < i {
			w = append(w, 0)
		}
		w = append(w, uint32(n))
	}
	return w
}

func decodeTiers(w []uint32) [quetzalroad.MaxTiers]int {
	var wanted [quetzalroad.MaxTiers]int
	for i, n := range w {
		if i < len(wanted) {
			wanted[i] = int(n)
		}
	}
	return wanted
}

func (m Mapper) encodeLoads(loads []quetzalroad.UpstreamLoad) *peerwire.Loads {
	w := &peerwire.Loads{}
	for _, x := range loads {
		if u, ok := m.Directory.Upstream(x.Upstream); ok {
			w.Revisions = append(w.Revisions, uint64(u.Revision))
			w.Running = append(w.Running, uint32(x.Running))
			w.TokenTimeMs = append(w.TokenTimeMs, uint32(x.InterTokenLatency.Milliseconds()))
		}
	}
	return w
}

func (m Mapper) decodeLoads(w *peerwire.Loads) []quetzalroad.UpstreamLoad {
	var loads []quetzalroad.UpstreamLoad
	for i, r := range w.GetRevisions() {
		name, ok := m.Directory.UpstreamByRevision(quetzalroad.Revision(r))
		if !ok || i >= len(w.GetRunning()) {
			continue
		}
		l := quetzalroad.UpstreamLoad{Upstream: name, Running: int(w.GetRunning()[i])}
		if i < len(w.GetTokenTimeMs()) {
			l.InterTokenLatency = time.Duration(w.GetTokenTimeMs()[i]) * time.Millisecond
		}
		loads = append(loads, l)
	}
	return loads
}

func (m Mapper) encodeTeams(demand []quetzalroad.TeamDemand) *peerwire.Teams {
	w := &peerwire.Teams{}
	for _, x := range demand {
		if t, ok := m.Directory.Team(x.Team); ok {
			w.Revisions = append(w.Revisions, uint64(t.Revision))
			w.TokensPerSecond = append(w.TokensPerSecond, uint32(x.TokensPerSecond))
			w.Running = append(w.Running, uint32(x.Running))
			w.Wanted = append(w.Wanted, uint32(x.PeakConcurrency))
		}
	}
	return w
}

func (m Mapper) decodeTeams(w *peerwire.Teams) []quetzalroad.TeamDemand {
	var demand []quetzalroad.TeamDemand
	count := min(len(w.GetRevisions()), len(w.GetTokensPerSecond()), len(w.GetRunning()), len(w.GetWanted()))
	for i := range count {
		name, ok := m.Directory.TeamByRevision(quetzalroad.Revision(w.GetRevisions()[i]))
		if !ok {
			continue
		}
		demand = append(demand, quetzalroad.TeamDemand{
			Team: name, TokensPerSecond: float64(w.GetTokensPerSecond()[i]), Running: int(w.GetRunning()[i]), PeakConcurrency: int(w.GetWanted()[i]),
		})
	}
	return demand
}

// DecodeHeartbeat reads the wire form of a heartbeat.
func (m Mapper) DecodeHeartbeat(w *peerwire.Heartbeat) (quetzalroad.Heartbeat, error) {
	address, err := netip.ParseAddrPort(w.GetAddress())
	if err != nil {
		return quetzalroad.Heartbeat{}, errors.Wrap(err, "address of a peer")
	}
	if w.GetNode() == "" || w.GetDataCentre() == "" {
		return quetzalroad.Heartbeat{}, errors.New("heartbeat without node or data centre")
	}
	h := quetzalroad.Heartbeat{
		From: quetzalroad.PeerAddress{
			Name: quetzalroad.NodeName(w.GetNode()), DataCentre: quetzalroad.DataCentre(w.GetDataCentre()), Address: address,
		},
		Region: quetzalroad.Region(w.GetRegion()), Stopping: w.GetStopping(), CrossDataCentre: w.GetFar(),
		TeamDemands: m.decodeTeams(w.GetTeams()), Loads: m.decodeLoads(w.GetLoads()),
	}
	m.decodeReports(w, &h)
	for _, x := range w.GetHeads() {
		h.AppliedOffsets = append(h.AppliedOffsets, quetzalroad.StreamOffset{Stream: quetzalroad.LogStream(x.GetStream()), Offset: quetzalroad.Offset(x.GetOffset())})
	}
	for _, x := range w.GetPlaces() {
		place := quetzalroad.DataCentreDemand{
			DataCentre: quetzalroad.DataCentre(x.GetDataCentre()), MeasuredAt: time.UnixMicro(x.GetTakenUs()), TeamDemands: m.decodeTeams(x.GetTeams()),
		}
		for _, r := range x.GetRooms() {
			place.Headroom = append(place.Headroom, quetzalroad.ServiceHeadroom{Service: quetzalroad.ServiceName(r.GetService()), Free: int(r.GetFree())})
		}
		h.DataCentreDemands = append(h.DataCentreDemands, place)
	}
	for _, x := range w.GetDrains() {
		h.Drains = append(h.Drains, quetzalroad.Drain{
			Upstream: quetzalroad.UpstreamName(x.GetUpstream()), ID: quetzalroad.ChangeID(x.GetId()), Author: x.GetAuthor(),
			BaseRevision: quetzalroad.Revision(x.GetBase()), RequestedAt: time.UnixMicro(x.GetAskedUs()),
		})
	}
	for _, x := range w.GetNodes() {
		a, err := netip.ParseAddrPort(x.GetAddress())
		if err != nil {
			return quetzalroad.Heartbeat{}, errors.Wrapf(err, "address of node %q", x.GetName())
		}
		h.KnownPeers = append(h.KnownPeers, quetzalroad.PeerAddress{Name: quetzalroad.NodeName(x.GetName()), DataCentre: quetzalroad.DataCentre(x.GetDataCentre()), Address: a})
	}
	return h, nil
}

func (m Mapper) decodeReports(w *peerwire.Heartbeat, h *quetzalroad.Heartbeat) {
	for _, x := range w.GetReports() {
		name, ok := m.Directory.UpstreamByRevision(quetzalroad.Revision(x.GetRevision()))
		if !ok {
			continue
		}
		h.Reports = append(h.Reports, quetzalroad.UpstreamReport{Upstream: name, Report: quetzalroad.LoadReport{
			MeasuredAt: time.UnixMicro(x.GetTakenUs()), Running: int(x.GetRunning()), Waiting: int(x.GetWaiting()), Leaving: x.GetLeaving(),
		}})
	}
	for _, x := range w.GetServices() {
		h.ServiceDemands = append(h.ServiceDemands, quetzalroad.ServiceDemand{Service: quetzalroad.ServiceName(x.GetService()), Requests: decodeTiers(x.GetWanted())})
	}
}

// EncodeRecords gives the wire form of records.
func EncodeRecords(records []quetzalroad.Record) *peerwire.RecordsAnswer {
	w := &peerwire.RecordsAnswer{}
	for _, r := range records {
		w.Records = append(w.Records, &peerwire.Record{Offset: int64(r.Offset), Data: r.Data})
	}
	return w
}

// DecodeRecords reads the wire form of records.
func DecodeRecords(w *peerwire.RecordsAnswer) []quetzalroad.Record {
	var records []quetzalroad.Record
	for _, r := range w.GetRecords() {
		records = append(records, quetzalroad.Record{Offset: quetzalroad.Offset(r.GetOffset()), Data: r.GetData()})
	}
	return records
}
