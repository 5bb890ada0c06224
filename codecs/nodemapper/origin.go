package nodemapper

import (
	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/peers/peerwire"
)

// EncodeOriginQuestion encodes a question about the origin of a stream, whose id is valid UTF-8.
func EncodeOriginQuestion(q quetzalroad.OriginQuestion) *peerwire.OriginRequest {
	return &peerwire.OriginRequest{Stream: string(q.Stream), Service: string(q.Service)}
}

// DecodeOriginQuestion decodes a question about the origin of a stream.
func DecodeOriginQuestion(message *peerwire.OriginRequest) quetzalroad.OriginQuestion {
	return quetzalroad.OriginQuestion{Stream: quetzalroad.RequestID(message.GetStream()), Service: quetzalroad.ServiceName(message.GetService())}
}

// EncodeOriginReport encodes what a node knows of a stream's origin.
func EncodeOriginReport(r quetzalroad.OriginReport) *peerwire.OriginAnswer {
	message := &peerwire.OriginAnswer{Found: r.Found, Service: string(r.Origin.Service), Version: string(r.Origin.Version), Current: r.IsCurrent}
	for _, v := range r.Versions {
		message.Versions = append(message.Versions, string(v))
	}
	return message
}

// DecodeOriginReport decodes what a node knows of a stream's origin.
func DecodeOriginReport(message *peerwire.OriginAnswer) quetzalroad.OriginReport {
	r := quetzalroad.OriginReport{Found: message.GetFound(), IsCurrent: message.GetCurrent()}
	if r.Found {
		r.Origin = quetzalroad.StreamOrigin{Service: quetzalroad.ServiceName(message.GetService()), Version: quetzalroad.SoftwareVersion(message.GetVersion())}
	}
	for _, v := range message.GetVersions() {
		r.Versions = append(r.Versions, quetzalroad.SoftwareVersion(v))
	}
	return r
}
