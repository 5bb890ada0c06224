package logclient

import (
	"encoding/base64"
	"net/http"
	"testing"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// Guards against a read that is given up during its transfer, as a whole takes longer than the timeout.
func TestReadOverASlowLinkIsNotGivenUp(t *testing.T) {
	const (
		partInterval = 20 * time.Millisecond
		parts        = int(readTimeoutMargin/partInterval) * 3 / 2
		partBytes    = 8 << 10
	)
	value := base64.StdEncoding.EncodeToString(make([]byte, parts*partBytes*3/4))
	body := []byte(`{"earliest":0,"next":1,"records":[{"offset":0,"data":"` + value + `"}]}`)
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		for len(body) > 0 {
			n, err := w.Write(body[:min(len(body), partBytes)])
			if err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			body = body[n:]
			time.Sleep(partInterval)
		}
	})
	records, _, err := client.Read(t.Context(), quetzalroad.LogStreamState, 0, 0)
	if err != nil || len(records) != 1 {
		t.Errorf("%d records, error %v", len(records), err)
	}
}
