package gateway

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/transport/httpfetch"
)

const (
	// statePath is the path on the state address that serves this host's copy of the store's topics to other hosts.
	statePath = "/v1/state"
	// sinceParameter is the query parameter with the offsets, one for each topic, since which changes are requested, and epochParameter the
	// one with the store's epoch that they belong to.
	sinceParameter = "since"
	epochParameter = "epoch"
	// topicParameter is the query parameter with the topic that is requested alone, if no offsets are stated. Hosts of earlier versions send all topics.
	topicParameter = "topic"
	// idleTransferTimeout is the maximum time of a transfer without progress. A peer that is gone must not hold up a host, which can read the
	// store instead.
	idleTransferTimeout = 300 * time.Millisecond
	// idleCatchUpTimeout is the same for missed changes. All hosts of a zone may fetch them over one link at the same time, and a host reads the store
	// beside a transfer that takes long.
	idleCatchUpTimeout = time.Second
	// maxTransferTime limits a whole transfer. The transfer to a host with a slow link goes on as long as it makes progress.
	maxTransferTime = 30 * time.Second
	// maxTransferBytes limits the size of a state before decompression, and maxStateBytes after it, in bytes. Hosts of earlier versions keep the values of
	// invalid records, however large, and send them. A host whose peer does so reads the store.
	maxTransferBytes = 8 << 20
	maxStateBytes    = 16 << 20
	// maxStateAgeMS bounds the ages of a state in milliseconds. No process runs for longer.
	maxStateAgeMS = 10 * 365 * 24 * 3_600_000
	// stateAgeHeader is the header field with the age of the served state in milliseconds. The encoded state may be older than the response.
	stateAgeHeader = "State-Age-Ms"
)

// updateSources are the hosts that have sent updates recently, from which this host fetches what an update did not contain.
type updateSources struct {
	mu      sync.Mutex
	epoch   int64 // of the store; older updates do not count
	updates int   // number of updates so far
	senders map[string]*updateSender
}

// updateSender is a host that has sent an update.
type updateSender struct {
	host   peers.Host
	at     time.Time        // of its last update
	update int              // number of its last update
	next   map[string]int64 // by topic, the end of what the host has read from the store according to its updates
}

// updateSourceLifetime is how long a host is a source after its last update.
const updateSourceLifetime = time.Second

// record records the sender of an update. A host that has forwarded the update of another one may not have what the update announces.
func (s *updateSources) record(from peers.Host, u *follow.Update, forwarded bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.senders == nil || u.Epoch > s.epoch {
		s.epoch, s.senders = u.Epoch, map[string]*updateSender{}
	}
	maps.DeleteFunc(s.senders, func(_ string, sender *updateSender) bool { return now.Sub(sender.at) > updateSourceLifetime })
	sender := s.senders[from.Name]
	if sender == nil {
		sender = &updateSender{next: map[string]int64{}}
		s.senders[from.Name] = sender
	}
	s.updates++
	sender.host, sender.at, sender.update = from, now, s.updates
	if forwarded || u.Epoch < s.epoch {
		return
	}
	for _, feed := range u.Feeds {
		sender.next[feed.Topic] = max(sender.next[feed.Topic], feed.Next)
	}
}

// get returns the source for a host that has the records before the given offsets, by topic: the host with the fastest link, of equal links the
// one that has the newest records in most of the topics that have newer ones, and of these the one that has sent the newest update. It
// returns false before the first update.
func (s *updateSources) get(have map[string]int64) (peers.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := maps.Clone(have)
	for _, sender := range s.senders {
		for topic, next := range sender.next {
			newest[topic] = max(newest[topic], next)
		}
	}
	var best *updateSender
	bestTopics := 0
	for _, sender := range s.senders {
		topics := 0
		for topic, next := range sender.next {
			if offset, ok := have[topic]; ok && next > offset && next == newest[topic] {
				topics++
			}
		}
		if best == nil || cmp.Or(cmp.Compare(sender.host.LinkMbps, best.host.LinkMbps), cmp.Compare(topics, bestTopics), cmp.Compare(sender.update, best.update)) > 0 {
			best, bestTopics = sender, topics
		}
	}
	if best == nil {
		return peers.Host{}, false
	}
	return best.host, true
}

// fetchChanges fetches what this host's copy of the store's topics lacks from a host that has sent an update recently.
func (g *Gateway) fetchChanges(ctx context.Context, since follow.Position) (*follow.State, error) {
	have := map[string]int64{}
	for i, feed := range g.feeds() {
		if i < len(since.Offsets) && !feed.AllowGaps {
			have[feed.Topic] = since.Offsets[i]
		}
	}
	h, ok := g.updateSources.get(have)
	if !ok {
		return nil, trace.NotFound("no host has sent an update yet")
	}
	begin := time.Now()
	list := make([]string, len(since.Offsets))
	for i, offset := range since.Offsets {
		list[i] = strconv.FormatInt(offset, 10)
	}
	state, err := fetchState(ctx, h, "?"+url.Values{sinceParameter: {strings.Join(list, ",")},
		epochParameter: {strconv.FormatInt(since.Epoch, 10)}}.Encode(), idleCatchUpTimeout)
	if err != nil {
		return nil, err
	}
	records := 0
	for _, feed := range state.Feeds {
		records += len(feed.Records)
	}
	g.metrics.Add("state_changes_fetched_total", 1)
	g.log.Info("changes_fetched", "from", h.Name, "age_ms", state.AgeMS, "took_ms", ms(time.Since(begin)), "records", records)
	return state, nil
}

// fetchState fetches the state of the store, as compressed CBOR, from another host. query is empty or the part of the URL from "?" on, idle the
// maximum time without progress. The state's age includes the time of the call, since the host may have answered at its beginning.
func fetchState(ctx context.Context, h peers.Host, query string, idle time.Duration) (*follow.State, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.StateAddress+statePath+query, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Accept-Encoding", "gzip")
	client := httpfetch.NewClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true})
	begin := time.Now()
	resp, err := httpfetch.Do(client, req, httpfetch.Limits{Idle: idle, Bytes: maxTransferBytes})
	if err != nil {
		return nil, trace.Wrap(err, "fetch the state of host %s", h.Name)
	}
	if resp.Status != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "fetch the state of host %s: HTTP status %d", h.Name, resp.Status)
	}
	zr, err := gzip.NewReader(bytes.NewReader(resp.Body))
	if err != nil {
		return nil, trace.BadParameter("decompress the state of host %s: %v", h.Name, err)
	}
	var state follow.State
	limited := &io.LimitedReader{R: zr, N: maxStateBytes}
	err = cbor.NewDecoder(limited).Decode(&state)
	if err == nil {
		_, err = io.Copy(io.Discard, limited) // to the checksum, behind the end of the state
	}
	if limited.N == 0 {
		err = trace.LimitExceeded("it has %d bytes or more", maxStateBytes)
	}
	if err != nil {
		return nil, trace.BadParameter("decode the state of host %s: %v", h.Name, err)
	}
	if age := resp.Header.Get(stateAgeHeader); age != "" { // hosts of earlier versions encode each state anew
		if state.AgeMS, err = strconv.ParseInt(age, 10, 64); err != nil {
			return nil, trace.BadParameter("the state of host %s has the age %q: not a number of milliseconds", h.Name, age)
		}
	}
	if min(state.AgeMS, state.EpochAgeMS) < 0 || max(state.AgeMS, state.EpochAgeMS) > maxStateAgeMS {
		return nil, trace.BadParameter("the state of host %s is %d ms old and its epoch %d ms: not 0 to %d", h.Name, state.AgeMS, state.EpochAgeMS, maxStateAgeMS)
	}
	state.AgeMS += time.Since(begin).Milliseconds()
	return &state, nil
}

// serveState serves this host's copy of the store on statePath, that of one topic, or what has changed in it since the requested position. The
// status is 503 if this host has no copy yet, or not all topics of the store's current epoch if changes are requested.
func (g *Gateway) serveState(w http.ResponseWriter, r *http.Request) {
	since, err := parsePosition(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	topic := r.URL.Query().Get(topicParameter)
	state, ok := g.stateSince(since, topic, time.Now())
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := g.encodedStates.get(since, state, time.Now())
	if err != nil {
		g.log.Warn("state_not_sent", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set(stateAgeHeader, strconv.FormatInt(state.AgeMS, 10))
	// An error means that the other host has given up.
	_, _ = w.Write(data)
}

// parsePosition parses the position since which changes are requested: a list of offsets that are separated by commas, and the store's epoch,
// 0 if it is missing. Without offsets it returns nil.
func parsePosition(query url.Values) (*follow.Position, error) {
	list, epoch := query.Get(sinceParameter), query.Get(epochParameter)
	if list == "" {
		return nil, nil
	}
	var p follow.Position
	for part := range strings.SplitSeq(list, ",") {
		offset, err := strconv.ParseInt(part, 10, 64)
		if err != nil {
			return nil, trace.BadParameter("parameter %s: %q is not an offset; use whole numbers separated by commas", sinceParameter, part)
		}
		p.Offsets = append(p.Offsets, offset)
	}
	if epoch != "" {
		var err error
		if p.Epoch, err = strconv.ParseInt(epoch, 10, 64); err != nil {
			return nil, trace.BadParameter("parameter %s: %q is not an epoch; use a whole number", epochParameter, epoch)
		}
	}
	return &p, nil
}

// stateSince returns this host's state since a position. Without a position it is the whole one, or that of a topic unless this is empty. It
// returns false if this host has no copy yet, or no complete one of the current epoch if there is a position.
func (g *Gateway) stateSince(since *follow.Position, topic string, now time.Time) (*follow.State, bool) {
	switch {
	case since != nil:
		return g.follower.StateSince(*since, now)
	case topic != "":
		return g.follower.StateOf(topic, now)
	}
	return g.follower.State(now)
}

// encodeState returns the state as compressed CBOR.
func encodeState(state *follow.State) ([]byte, error) {
	var out bytes.Buffer
	zw := gzip.NewWriter(&out)
	if err := cbor.NewEncoder(zw).Encode(state); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := zw.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}
