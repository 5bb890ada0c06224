package callerprover

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowd is the number of callers of a test, and silentCrowd that of those who only connect, more than
	// descriptorLimit allows.
	crowd       = 250
	silentCrowd = 700
	// attackTime is how long callers keep their connections, and connect again after one was closed.
	attackTime = 4 * time.Second
	// reconnectPause keeps a caller whose connection was closed from connecting in a loop.
	reconnectPause = 100 * time.Millisecond
	// sampleInterval is the interval between two readings of the process's figures.
	sampleInterval = 10 * time.Millisecond
)

// requestHead begins the head of a request, which the caller ends.
const requestHead = "POST /batch/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nRequest-Attempt-Id: a\r\n"

// attack is what one caller sends on a connection. It returns when the connection failed, or all was sent.
type attack func(conn net.Conn, random *rand.Rand) error

// play runs a crowd of callers against a node, and checks it during the attack and afterwards.
func play(t *testing.T, callers int, attacks ...attack) {
	t.Helper()
	p := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), attackTime)
	defer cancel()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { p.attackUntil(ctx, attacks[i%len(attacks)], rand.New(rand.NewPCG(uint64(i), 1))) })
	}
	maxDescriptors := p.observe(ctx)
	group.Wait()
	peak := p.statusKB("VmHWM")
	t.Logf("%d callers: at most %d MB resident and %d descriptors", callers, peak>>10, maxDescriptors)
	if !p.isRunning() {
		text, _ := os.ReadFile(p.logFile)
		t.Fatalf("the process ended: %s", text[max(0, len(text)-2000):])
	}
	if peak > memoryMB<<10 {
		t.Errorf("%d MB resident, want at most %d MB", peak>>10, memoryMB)
	}
	if maxDescriptors >= descriptorLimit {
		t.Errorf("all %d descriptors were in use", descriptorLimit)
	}
	awaitCondition(t, answerTimeout, "an ordinary request is answered afterwards", func() bool { return p.request(firstPath) == nil })
	awaitCondition(t, answerTimeout, "the node is ready afterwards", p.isReady)
	p.store.PutConfig(configText(2, changedPath))
	awaitCondition(t, answerTimeout, "the node still follows the store", func() bool { return p.request(changedPath) == nil })
}

// observe returns the largest number of descriptors in use until the context ends.
func (p *process) observe(ctx context.Context) int {
	largest := 0
	for ctx.Err() == nil {
		largest = max(largest, p.descriptors())
		time.Sleep(sampleInterval)
	}
	return largest
}

// attackUntil attacks on one connection after the other until the context ends. A connection on which all was sent
// stays open until then, unless the node closes it.
func (p *process) attackUntil(ctx context.Context, send attack, random *rand.Rand) {
	for ctx.Err() == nil {
		if conn := p.dial(); conn != nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			if send(conn, random) == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
			stop()
			_ = conn.Close()
		}
		time.Sleep(reconnectPause)
	}
}

func sendText(conn net.Conn, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	return nil
}

// fillHead returns lines that fill a head up to its limit.
func fillHead(line func(i int) string) string {
	var b strings.Builder
	const rest = len(requestHead) + 100
	for i := 0; b.Len() < maxHeadBytes-rest; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

// headAttack sends a head of many lines, and a body that stops short of its end.
func headAttack(line func(i int) string) attack {
	lines := fillHead(line)
	return func(conn net.Conn, _ *rand.Rand) error {
		return sendText(conn, requestHead, lines, "Content-Length: 10\r\n\r\n123456789")
	}
}

func shortLine(i int) string { return fmt.Sprintf("%x:\r\n", i) }

func oddLine(i int) string { return fmt.Sprintf("!~%x: \t%c\r\n", i, 'a'+i%26) }

func emptyLine(int) string { return "a:\r\n" }

func longLine(i int) string { return fmt.Sprintf("X-Field-%d: %s\r\n", i, strings.Repeat("v", 64)) }

// Heads of legal size made of very many short lines took 1 MB each once they were parsed and copied.
func TestHeadsOfShortLines(t *testing.T) { play(t, crowd, headAttack(shortLine)) }

// The same with odd names and values.
func TestHeadsOfOddLines(t *testing.T) { play(t, crowd, headAttack(oddLine)) }

// The same with one empty field, repeated.
func TestHeadsOfEmptyLines(t *testing.T) { play(t, crowd, headAttack(emptyLine)) }

// The same with longer, different lines.
func TestHeadsOfDifferentLines(t *testing.T) { play(t, crowd, headAttack(longLine)) }

// unfinishedHeadAttack sends the lines of a head, but not its end.
func unfinishedHeadAttack(conn net.Conn, _ *rand.Rand) error {
	return sendText(conn, requestHead, fillHead(shortLine))
}

// Heads without their end are parsed line by line, and are kept until the header timeout.
func TestUnfinishedHeads(t *testing.T) { play(t, crowd, unfinishedHeadAttack) }

// pipelinedHeadAttack sends a request whose connection already holds the lines of the next one.
func pipelinedHeadAttack(conn net.Conn, _ *rand.Rand) error {
	return sendText(conn, requestHead+"Content-Length: 2\r\n\r\nok"+requestHead+fillHead(shortLine))
}

// The lines of a pipelined head are read together with the body before it.
func TestPipelinedHeads(t *testing.T) { play(t, crowd, pipelinedHeadAttack) }

// chunkedAttack sends a chunked body of a size in chunks of a size, and not its last chunk.
func chunkedAttack(bodyBytes, chunkBytes int, extension string) attack {
	chunk := fmt.Sprintf("%x%s\r\n%s\r\n", chunkBytes, extension, strings.Repeat("b", chunkBytes))
	perWrite := max(1, (32<<10)/len(chunk))
	return func(conn net.Conn, _ *rand.Rand) error {
		if err := sendText(conn, requestHead+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		block := strings.Repeat(chunk, perWrite)
		for sent := 0; sent+perWrite*chunkBytes < bodyBytes; sent += perWrite * chunkBytes {
			if err := sendText(conn, block); err != nil {
				return err
			}
		}
		return nil
	}
}

// Chunked bodies that stop just short of their limit and stay open took twice their size each.
func TestUnfinishedBodiesInLargeChunks(t *testing.T) {
	play(t, crowd, chunkedAttack(maxBodyBytes, 8<<10, ""))
}

// The same bodies in the smallest chunks.
func TestUnfinishedBodiesInSmallChunks(t *testing.T) {
	play(t, crowd, chunkedAttack(maxBodyBytes, 1, ""))
}

// The same bodies with an extension in each chunk.
func TestUnfinishedBodiesWithChunkExtensions(t *testing.T) {
	play(t, crowd, chunkedAttack(maxBodyBytes, 64, ";name=value"))
}

// declaredAttack declares a length and sends a part of the body.
func declaredAttack(declared, sent int) attack {
	block := strings.Repeat("d", 32<<10)
	return func(conn net.Conn, _ *rand.Rand) error {
		if err := sendText(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", requestHead, declared)); err != nil {
			return err
		}
		for rest := sent; rest > 0; rest -= len(block) {
			if err := sendText(conn, block[:min(rest, len(block))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// Bodies of a declared length of which the last byte never comes.
func TestUnfinishedBodiesOfDeclaredLength(t *testing.T) {
	play(t, crowd, declaredAttack(maxBodyBytes, maxBodyBytes-1))
}

// Bodies far over the limit, declared as such or not, of callers who go on sending after they were refused.
func TestBodiesFarOverTheLimit(t *testing.T) {
	play(t, crowd, declaredAttack(64*maxBodyBytes, 64*maxBodyBytes), chunkedAttack(64*maxBodyBytes, 8<<10, ""))
}

func silentAttack(net.Conn, *rand.Rand) error { return nil }

// Connections without a request took all descriptors, so that the node reached neither its upstreams nor the store.
func TestSilentConnections(t *testing.T) { play(t, silentCrowd, silentAttack) }

// slowAttack sends a request in small parts, some of them within its head.
func slowAttack(conn net.Conn, random *rand.Rand) error {
	text := requestHead + fillHead(shortLine) + "Content-Length: 200000\r\n\r\n" + strings.Repeat("s", 100000)
	for len(text) > 0 {
		n := min(len(text), 1+random.IntN(2000))
		if err := sendText(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	return nil
}

// Callers who are slow at any point hold what the node has received of their requests.
func TestSlowCallers(t *testing.T) { play(t, crowd, slowAttack) }

// unreadAttack sends whole requests, whose responses are as long, and reads nothing.
func unreadAttack(conn net.Conn, random *rand.Rand) error {
	if err := declaredAttack(maxBodyBytes, maxBodyBytes)(conn, random); err != nil {
		return err
	}
	time.Sleep(attackTime)
	return nil
}

// Responses that their callers don't read stay in the node's memory, together with the requests.
func TestUnreadResponses(t *testing.T) { play(t, crowd, unreadAttack) }

// All attacks at once: bounds that hold for each alone may not hold for their sum.
func TestMixedAttacks(t *testing.T) {
	play(t, crowd, headAttack(shortLine), unfinishedHeadAttack, chunkedAttack(maxBodyBytes, 8<<10, ""), silentAttack, slowAttack,
		declaredAttack(maxBodyBytes, maxBodyBytes-1), chunkedAttack(64*maxBodyBytes, 8<<10, ""), unreadAttack, pipelinedHeadAttack, chunkedAttack(maxBodyBytes, 1, ""))
}
