package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	firstPort = 17100
	// settings lowers the limits, so that a small crowd reaches them.
	settings = "limits.memory-mb=96\nlimits.max-fds=400\n"
	// maxMemory is three quarters of the memory in settings, maxDescriptors three
	// quarters of the descriptors.
	maxMemory      = 72 << 20
	maxDescriptors = 300
	connections    = 300
	maxBody        = 262144
	// sendLimit bounds how long a client sends.
	sendLimit   = 10 * time.Second
	ordinaryJob = `{"spec":"x","steps":[{"count":1,"cpu":100,"mem-mb":64,"estimate-ms":100}]}`
)

const (
	chunkedHeader = "Transfer-Encoding: chunked\r\n\r\n"
	lengthHeader  = "Content-Length: 262144\r\n\r\n"
)

// The payloads of a client: what it sends after the first lines of its request.
var (
	// largeChunks stops one chunk of 32 KiB short of the end of a legal body.
	largeChunks = chunkedHeader + strings.Repeat("8000\r\n"+strings.Repeat(" ", 32<<10)+"\r\n", 7)
	// tinyChunks lacks one byte and the end.
	tinyChunks = chunkedHeader + strings.Repeat("1\r\n \r\n", maxBody-1)
	// shortLength lacks one byte of the declared length.
	shortLength = lengthHeader + strings.Repeat(" ", maxBody-1)
	// wholeJob is a legal job that fills the body with white space.
	wholeJob = lengthHeader + ordinaryJob + strings.Repeat(" ", maxBody-len(ordinaryJob))
	// manySteps is a whole body whose steps take a hundred times its size.
	manySteps = lengthHeader + `{"steps":[{}` + strings.Repeat(",{}", (maxBody-14)/3) + "]}"
	// deepNest is a whole body of nothing but opening brackets.
	deepNest = lengthHeader + strings.Repeat("[", maxBody)
)

// crowd is a set of clients that keep their connections open.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// settleTime is how long the entry's memory has to stay the same until it counts as
// having read what the kernel received for it.
const settleTime = time.Second

// gather connects the clients, which send the payloads in turn. It returns when each
// has sent all or was refused and the entry's memory has settled. It samples the
// descriptors of the entry, and returns the highest number.
func (c *crowd) gather(e *entry, payloads []string) int {
	var clients sync.WaitGroup
	for i := range connections {
		clients.Go(func() { c.send(e.front, i, payloads[i%len(payloads)]) })
	}
	sent := make(chan struct{})
	go func() {
		clients.Wait()
		close(sent)
	}()
	highest, memory, changed := 0, 0, time.Now()
	for began := time.Now(); time.Since(began) < waitLimit && e.lives(); time.Sleep(20 * time.Millisecond) {
		highest = max(highest, e.descriptors())
		if m := e.peakMemory(); m != memory {
			memory, changed = m, time.Now()
		}
		select {
		case <-sent:
			if time.Since(changed) > settleTime {
				return highest
			}
		default:
		}
	}
	return highest
}

// send sends one request and leaves its connection open.
func (c *crowd) send(addr string, client int, payload string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return // The entry may refuse connections.
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(sendLimit)) // Fails only on a closed connection.
	head := fmt.Appendf(nil, "POST %s%s HTTP/1.1\r\nHost: %s\r\n", prefix, clientID(client), host)
	if _, err := conn.Write(head); err != nil {
		return // The entry may close connections.
	}
	for rest := []byte(payload); len(rest) > 0; {
		n := min(len(rest), 16<<10)
		if _, err := conn.Write(rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Guards against clients that make an entry hold so many bodies or connections that
// its machine has no memory or its process no descriptors left. The entry also leads,
// so the job that ends shows that the leader's orders go out.
func TestCrowd(t *testing.T) {
	for i, c := range []struct {
		name      string
		payloads  []string
		storeDown bool
	}{
		{"LargeChunks", []string{largeChunks}, false},
		{"TinyChunks", []string{tinyChunks}, false},
		{"ShortLength", []string{shortLength}, false},
		{"Whole", []string{wholeJob, manySteps}, false},
		{"Mix", []string{largeChunks, tinyChunks, shortLength, wholeJob, manySteps, deepNest}, false},
		{"StoreDown", []string{largeChunks, shortLength, wholeJob}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, s := startEntry(t, firstPort+10*i, fewWorkers, settings)
			rest := e.peakMemory()
			var clients crowd
			defer clients.close()
			s.Store.SetDown(c.storeDown)
			descriptors := clients.gather(e, c.payloads)
			s.Store.SetDown(false)
			require.True(t, e.lives(), "the process has ended")
			e.requireAccepts(laterID)
			e.requireSucceeds(laterID)
			require.True(t, e.lives(), "the process has ended")
			peak := e.peakMemory()
			t.Logf("resident memory %d MB at rest, %d MB at most; %d descriptors at most", rest>>20, peak>>20, descriptors)
			require.Less(t, peak, maxMemory, "resident memory")
			require.Less(t, descriptors, maxDescriptors, "descriptors")
			e.requireStops()
		})
	}
}

// Guards against payloads that are not what the cases above are named for.
func TestPayloads(t *testing.T) {
	for _, p := range []string{wholeJob, manySteps, deepNest} {
		_, body, found := bytes.Cut([]byte(p), []byte("\r\n\r\n"))
		require.True(t, found)
		require.LessOrEqual(t, len(body), maxBody)
	}
}
