package nodemapper

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

func encodeUsage(usage []quetzalroad.NodeUsage) []*peerwire.NodeUsage {
	var messages []*peerwire.NodeUsage
	for _, u := range usage {
		message := &peerwire.NodeUsage{Node: string(u.Node), StartedUs: u.StartedAt.UnixMicro(), Window: int64(u.Window)}
		for _, t := range u.Teams {
			message.Teams = append(message.Teams, string(t.Team))
			message.Requests = append(message.Requests, uint32(t.Requests))
		}
		messages = append(messages, message)
	}
	return messages
}

// decodeUsage leaves out entries that no node sends: they would be counted as requests of a team.
func decodeUsage(messages []*peerwire.NodeUsage) []quetzalroad.NodeUsage {
	var usage []quetzalroad.NodeUsage
	for _, m := range messages {
		if m.GetNode() == "" || m.GetWindow() < 0 || len(m.GetTeams()) != len(m.GetRequests()) {
			continue
		}
		u := quetzalroad.NodeUsage{Node: quetzalroad.NodeName(m.GetNode()), StartedAt: time.UnixMicro(m.GetStartedUs()).UTC(), Window: quetzalroad.UsageWindow(m.GetWindow())}
		for i, team := range m.GetTeams() {
			u.Teams = append(u.Teams, quetzalroad.TeamUsage{Team: quetzalroad.TeamName(team), Requests: int(m.GetRequests()[i])})
		}
		usage = append(usage, u)
	}
	return usage
}

func encodeDemand(demand []quetzalroad.ServiceActivity) []*peerwire.ServiceActivity {
	var messages []*peerwire.ServiceActivity
	for _, d := range demand {
		messages = append(messages, &peerwire.ServiceActivity{Service: string(d.Service), Requests: d.Requests, InFlight: uint32(d.InFlight), Late: d.Late, Refused: d.Refused})
	}
	return messages
}

func decodeDemand(messages []*peerwire.ServiceActivity) []quetzalroad.ServiceActivity {
	var demand []quetzalroad.ServiceActivity
	for _, m := range messages {
		if isAmount(m.GetRequests()) && isAmount(m.GetLate()) && isAmount(m.GetRefused()) && m.GetInFlight() <= maxOccupancy {
			demand = append(demand, quetzalroad.ServiceActivity{
				Service: quetzalroad.ServiceName(m.GetService()), Requests: m.GetRequests(), InFlight: int(m.GetInFlight()), Late: m.GetLate(), Refused: m.GetRefused(),
			})
		}
	}
	return demand
}
