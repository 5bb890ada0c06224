// Package peermapper maps the messages between nodes to and from their wire
// types.
package peermapper

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peerwire"
)

// EncodeHeartbeat gives the wire form of a heartbeat.
func EncodeHeartbeat(h quetzalroad.Heartbeat) *peerwire.Heartbeat {
	w := &peerwire.Heartbeat{
		Node: string(h.From.Name), DataCentre: string(h.From.DataCentre), Region: string(h.Region),
		Address: h.From.Address.String(), Stopping: h.Stopping, Far: h.Far,
		Teams: encodeTeams(h.Teams),
	}
	for _, x := range h.Heads {
		w.Heads = append(w.Heads, &peerwire.Head{Stream: string(x.Stream), Offset: int64(x.Offset)})
	}
	for _, x := range h.Loads {
		w.Loads = append(w.Loads, &peerwire.Load{Upstream: string(x.Upstream), Running: uint32(x.Running), FirstTokenUs: uint32(x.FirstToken.Microseconds())})
	}
	for _, x := range h.Reports {
		w.Reports = append(w.Reports, &peerwire.Report{
			Upstream: string(x.Upstream), TakenUs: x.Report.Taken.UnixMicro(),
			Running: uint32(x.Report.Running), Waiting: uint32(x.Report.Waiting), Leaving: x.Report.Leaving,
		})
	}
	for _, x := range h.Services {
		w.Services = append(w.Services, &peerwire.ServiceDemand{Service: string(x.Service), Wanted: encodeTiers(x.Wanted)})
	}
	for _, x := range h.Places {
		place := &peerwire.Place{DataCentre: string(x.DataCentre), TakenUs: x.Taken.UnixMicro(), Teams: encodeTeams(x.Demand)}
		for _, r := range x.Rooms {
			place.Rooms = append(place.Rooms, &peerwire.ServiceRoom{Service: string(r.Service), Free: uint32(max(0, r.Free))})
		}
		w.Places = append(w.Places, place)
	}
	for _, x := range h.Drains {
		w.Drains = append(w.Drains, &peerwire.Drain{Upstream: string(x.Upstream), Id: string(x.ID), Author: x.Author, Base: int64(x.Base), AskedUs: x.Asked.UnixMicro()})
	}
	for _, x := range h.Nodes {
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

func encodeTeams(demand []quetzalroad.TeamDemand) []*peerwire.TeamDemand {
	var w []*peerwire.TeamDemand
	for _, x := range demand {
		w = append(w, &peerwire.TeamDemand{Team: string(x.Team), TokensPerSecond: float32(x.TokensPerSecond), Running: uint32(x.Running), Wanted: uint32(x.Wanted)})
	}
	return w
}

// DecodeHeartbeat reads the wire form of a heartbeat.
func DecodeHeartbeat(w *peerwire.Heartbeat) (quetzalroad.Heartbeat, error) {
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
		Region: quetzalroad.Region(w.GetRegion()), Stopping: w.GetStopping(), Far: w.GetFar(),
		Teams: decodeTeams(w.GetTeams()),
	}
	decodeLoads(w, &h)
	for _, x := range w.GetHeads() {
		h.Heads = append(h.Heads, quetzalroad.StreamHead{Stream: quetzalroad.Stream(x.GetStream()), Offset: quetzalroad.Offset(x.GetOffset())})
	}
	for _, x := range w.GetPlaces() {
		place := quetzalroad.PlaceDemand{
			DataCentre: quetzalroad.DataCentre(x.GetDataCentre()), Taken: time.UnixMicro(x.GetTakenUs()), Demand: decodeTeams(x.GetTeams()),
		}
		for _, r := range x.GetRooms() {
			place.Rooms = append(place.Rooms, quetzalroad.ServiceRoom{Service: quetzalroad.ServiceName(r.GetService()), Free: int(r.GetFree())})
		}
		h.Places = append(h.Places, place)
	}
	for _, x := range w.GetDrains() {
		h.Drains = append(h.Drains, quetzalroad.Drain{
			Upstream: quetzalroad.UpstreamName(x.GetUpstream()), ID: quetzalroad.ChangeID(x.GetId()), Author: x.GetAuthor(),
			Base: quetzalroad.Revision(x.GetBase()), Asked: time.UnixMicro(x.GetAskedUs()),
		})
	}
	for _, x := range w.GetNodes() {
		a, err := netip.ParseAddrPort(x.GetAddress())
		if err != nil {
			return quetzalroad.Heartbeat{}, errors.Wrapf(err, "address of node %q", x.GetName())
		}
		h.Nodes = append(h.Nodes, quetzalroad.PeerAddress{Name: quetzalroad.NodeName(x.GetName()), DataCentre: quetzalroad.DataCentre(x.GetDataCentre()), Address: a})
	}
	return h, nil
}

func decodeLoads(w *peerwire.Heartbeat, h *quetzalroad.Heartbeat) {
	for _, x := range w.GetLoads() {
		h.Loads = append(h.Loads, quetzalroad.UpstreamLoad{
			Upstream: quetzalroad.UpstreamName(x.GetUpstream()), Running: int(x.GetRunning()),
			FirstToken: time.Duration(x.GetFirstTokenUs()) * time.Microsecond,
		})
	}
	for _, x := range w.GetReports() {
		h.Reports = append(h.Reports, quetzalroad.UpstreamReport{
			Upstream: quetzalroad.UpstreamName(x.GetUpstream()),
			Report: quetzalroad.LoadReport{
				Taken: time.UnixMicro(x.GetTakenUs()), Running: int(x.GetRunning()), Waiting: int(x.GetWaiting()), Leaving: x.GetLeaving(),
			},
		})
	}
	for _, x := range w.GetServices() {
		h.Services = append(h.Services, quetzalroad.ServiceDemand{Service: quetzalroad.ServiceName(x.GetService()), Wanted: decodeTiers(x.GetWanted())})
	}
}

func decodeTeams(w []*peerwire.TeamDemand) []quetzalroad.TeamDemand {
	var demand []quetzalroad.TeamDemand
	for _, x := range w {
		demand = append(demand, quetzalroad.TeamDemand{
			Team: quetzalroad.TeamName(x.GetTeam()), TokensPerSecond: float64(x.GetTokensPerSecond()),
			Running: int(x.GetRunning()), Wanted: int(x.GetWanted()),
		})
	}
	return demand
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
