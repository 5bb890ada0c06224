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

// Mapper maps heartbeats. Upstreams and teams are identified by their current
// revision. Those that a node doesn't know, because its state differs, are omitted.
type Mapper struct {
	Directory quetzalroad.Directory
}

// EncodeHeartbeat converts a heartbeat to its wire message.
func (m Mapper) EncodeHeartbeat(h quetzalroad.Heartbeat) *peerwire.Heartbeat {
	message := &peerwire.Heartbeat{
		Node: string(h.From.Name), DataCentre: string(h.From.DataCentre), Region: string(h.Region),
		Address: h.From.Address.String(), Stopping: h.Stopping, Far: h.CrossDataCentre,
		Teams: m.encodeTeamDemands(h.TeamDemands), Loads: m.encodeLoads(h.Loads),
	}
	for _, applied := range h.AppliedOffsets {
		message.Heads = append(message.Heads, &peerwire.Head{Stream: string(applied.Stream), Offset: int64(applied.Offset)})
	}
	for _, report := range h.Reports {
		if u, ok := m.Directory.Upstream(report.Upstream); ok {
			message.Reports = append(message.Reports, &peerwire.Report{
				Revision: uint64(u.Revision), TakenUs: report.Report.MeasuredAt.UnixMicro(),
				Running: uint32(report.Report.Running), Waiting: uint32(report.Report.Waiting), Leaving: report.Report.Leaving,
			})
		}
	}
	for _, demand := range h.ServiceDemands {
		message.Services = append(message.Services, &peerwire.ServiceDemand{Service: string(demand.Service), Wanted: encodeTierCounts(demand.Requests)})
	}
	for _, demand := range h.DataCentreDemands {
		encoded := &peerwire.Place{DataCentre: string(demand.DataCentre), TakenUs: demand.MeasuredAt.UnixMicro(), Teams: m.encodeTeamDemands(demand.TeamDemands)}
		for _, r := range demand.Headroom {
			encoded.Rooms = append(encoded.Rooms, &peerwire.ServiceRoom{Service: string(r.Service), Free: uint32(max(0, r.Free))})
		}
		message.Places = append(message.Places, encoded)
	}
	for _, drain := range h.Drains {
		message.Drains = append(message.Drains, &peerwire.Drain{Upstream: string(drain.Upstream), Id: string(drain.ID), Author: drain.Author, Base: int64(drain.BaseRevision), AskedUs: drain.RequestedAt.UnixMicro()})
	}
	for _, peer := range h.KnownPeers {
		message.Nodes = append(message.Nodes, &peerwire.Node{Name: string(peer.Name), DataCentre: string(peer.DataCentre), Address: peer.Address.String()})
	}
	return message
}

// encodeTierCounts omits trailing zeros.
func encodeTierCounts(counts [quetzalroad.MaxTiers]int) []uint32 {
	var encoded []uint32
	for i, n := range counts {
		if n == 0 {
			continue
		}
		for len(encoded) < i {
			encoded = append(encoded, 0)
		}
		encoded = append(encoded, uint32(n))
	}
	return encoded
}

func decodeTierCounts(encoded []uint32) [quetzalroad.MaxTiers]int {
	var counts [quetzalroad.MaxTiers]int
	for i, n := range encoded {
		if i < len(counts) {
			counts[i] = int(n)
		}
	}
	return counts
}

func (m Mapper) encodeLoads(loads []quetzalroad.UpstreamLoad) *peerwire.Loads {
	message := &peerwire.Loads{}
	for _, load := range loads {
		if u, ok := m.Directory.Upstream(load.Upstream); ok {
			message.Revisions = append(message.Revisions, uint64(u.Revision))
			message.Running = append(message.Running, uint32(load.Running))
			message.TokenTimeMs = append(message.TokenTimeMs, uint32(load.InterTokenLatency.Milliseconds()))
		}
	}
	return message
}

func (m Mapper) decodeLoads(message *peerwire.Loads) []quetzalroad.UpstreamLoad {
	var loads []quetzalroad.UpstreamLoad
	for i, r := range message.GetRevisions() {
		name, ok := m.Directory.UpstreamByRevision(quetzalroad.Revision(r))
		if !ok || i >= len(message.GetRunning()) {
			continue
		}
		l := quetzalroad.UpstreamLoad{Upstream: name, Running: int(message.GetRunning()[i])}
		if i < len(message.GetTokenTimeMs()) {
			l.InterTokenLatency = time.Duration(message.GetTokenTimeMs()[i]) * time.Millisecond
		}
		loads = append(loads, l)
	}
	return loads
}

func (m Mapper) encodeTeamDemands(demands []quetzalroad.TeamDemand) *peerwire.Teams {
	message := &peerwire.Teams{}
	for _, demand := range demands {
		if t, ok := m.Directory.Team(demand.Team); ok {
			message.Revisions = append(message.Revisions, uint64(t.Revision))
			message.TokensPerSecond = append(message.TokensPerSecond, uint32(demand.TokensPerSecond))
			message.Running = append(message.Running, uint32(demand.Running))
			message.Wanted = append(message.Wanted, uint32(demand.PeakConcurrency))
		}
	}
	return message
}

func (m Mapper) decodeTeamDemands(message *peerwire.Teams) []quetzalroad.TeamDemand {
	var demands []quetzalroad.TeamDemand
	count := min(len(message.GetRevisions()), len(message.GetTokensPerSecond()), len(message.GetRunning()), len(message.GetWanted()))
	for i := range count {
		name, ok := m.Directory.TeamByRevision(quetzalroad.Revision(message.GetRevisions()[i]))
		if !ok {
			continue
		}
		demands = append(demands, quetzalroad.TeamDemand{
			Team: name, TokensPerSecond: float64(message.GetTokensPerSecond()[i]), Running: int(message.GetRunning()[i]), PeakConcurrency: int(message.GetWanted()[i]),
		})
	}
	return demands
}

// DecodeHeartbeat converts a wire message to a heartbeat.
func (m Mapper) DecodeHeartbeat(message *peerwire.Heartbeat) (quetzalroad.Heartbeat, error) {
	address, err := netip.ParseAddrPort(message.GetAddress())
	if err != nil {
		return quetzalroad.Heartbeat{}, errors.Wrap(err, "address of a peer")
	}
	if message.GetNode() == "" || message.GetDataCentre() == "" {
		return quetzalroad.Heartbeat{}, errors.New("heartbeat without node or data centre")
	}
	h := quetzalroad.Heartbeat{
		From: quetzalroad.PeerAddress{
			Name: quetzalroad.NodeName(message.GetNode()), DataCentre: quetzalroad.DataCentre(message.GetDataCentre()), Address: address,
		},
		Region: quetzalroad.Region(message.GetRegion()), Stopping: message.GetStopping(), CrossDataCentre: message.GetFar(),
		TeamDemands: m.decodeTeamDemands(message.GetTeams()), Loads: m.decodeLoads(message.GetLoads()),
	}
	m.decodeReportsAndServiceDemands(message, &h)
	for _, head := range message.GetHeads() {
		h.AppliedOffsets = append(h.AppliedOffsets, quetzalroad.StreamOffset{Stream: quetzalroad.LogStream(head.GetStream()), Offset: quetzalroad.Offset(head.GetOffset())})
	}
	for _, place := range message.GetPlaces() {
		decoded := quetzalroad.DataCentreDemand{
			DataCentre: quetzalroad.DataCentre(place.GetDataCentre()), MeasuredAt: time.UnixMicro(place.GetTakenUs()), TeamDemands: m.decodeTeamDemands(place.GetTeams()),
		}
		for _, r := range place.GetRooms() {
			decoded.Headroom = append(decoded.Headroom, quetzalroad.ServiceHeadroom{Service: quetzalroad.ServiceName(r.GetService()), Free: int(r.GetFree())})
		}
		h.DataCentreDemands = append(h.DataCentreDemands, decoded)
	}
	for _, drain := range message.GetDrains() {
		h.Drains = append(h.Drains, quetzalroad.Drain{
			Upstream: quetzalroad.UpstreamName(drain.GetUpstream()), ID: quetzalroad.ChangeID(drain.GetId()), Author: drain.GetAuthor(),
			BaseRevision: quetzalroad.Revision(drain.GetBase()), RequestedAt: time.UnixMicro(drain.GetAskedUs()),
		})
	}
	for _, node := range message.GetNodes() {
		a, err := netip.ParseAddrPort(node.GetAddress())
		if err != nil {
			return quetzalroad.Heartbeat{}, errors.Wrapf(err, "address of node %q", node.GetName())
		}
		h.KnownPeers = append(h.KnownPeers, quetzalroad.PeerAddress{Name: quetzalroad.NodeName(node.GetName()), DataCentre: quetzalroad.DataCentre(node.GetDataCentre()), Address: a})
	}
	return h, nil
}

func (m Mapper) decodeReportsAndServiceDemands(message *peerwire.Heartbeat, h *quetzalroad.Heartbeat) {
	for _, report := range message.GetReports() {
		name, ok := m.Directory.UpstreamByRevision(quetzalroad.Revision(report.GetRevision()))
		if !ok {
			continue
		}
		h.Reports = append(h.Reports, quetzalroad.UpstreamReport{Upstream: name, Report: quetzalroad.LoadReport{
			MeasuredAt: time.UnixMicro(report.GetTakenUs()), Running: int(report.GetRunning()), Waiting: int(report.GetWaiting()), Leaving: report.GetLeaving(),
		}})
	}
	for _, demand := range message.GetServices() {
		h.ServiceDemands = append(h.ServiceDemands, quetzalroad.ServiceDemand{Service: quetzalroad.ServiceName(demand.GetService()), Requests: decodeTierCounts(demand.GetWanted())})
	}
}

// EncodeRecords converts records to their wire message.
func EncodeRecords(records []quetzalroad.Record) *peerwire.RecordsAnswer {
	message := &peerwire.RecordsAnswer{}
	for _, r := range records {
		message.Records = append(message.Records, &peerwire.Record{Offset: int64(r.Offset), Data: r.Data})
	}
	return message
}

// DecodeRecords converts a wire message to records.
func DecodeRecords(message *peerwire.RecordsAnswer) []quetzalroad.Record {
	var records []quetzalroad.Record
	for _, r := range message.GetRecords() {
		records = append(records, quetzalroad.Record{Offset: quetzalroad.Offset(r.GetOffset()), Data: r.GetData()})
	}
	return records
}
