//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// Limits of the store, from PROTOCOL.md.
const (
	pageItems         = 500
	pageBytes         = 1 << 20
	maxTxnEntries     = 32
	historyRetention  = 20 * time.Second
	storeAnswerTime   = 4 * time.Millisecond
	maxStoreValueSize = 1 << 20
)

// change is an item of the history and the time at which it was written.
type change struct {
	item
	at time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex // guards the fields below
	revision uint64
	items    map[string]item
	history  []change
	dropped  uint64 // history up to this revision is gone
	changed  chan struct{}
	down     bool          // each call's connection is reset
	answer   time.Duration // time until a call is answered
	outage   chan struct{} // closed when the store goes down
}

func newStore(address string) (*store, error) {
	s := &store{items: make(map[string]item), changed: make(chan struct{}), outage: make(chan struct{}), revision: 1, answer: storeAnswerTime}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peridotpitch/kv-key", s.get)
	mux.HandleFunc("GET /peridotpitch/kv-range", s.list)
	mux.HandleFunc("GET /peridotpitch/kv-watch", s.watch)
	mux.HandleFunc("POST /peridotpitch/kv-txn", s.commit)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			down, wait := s.down, s.answer
			s.mu.Unlock()
			if down {
				reset(w)
				return
			}
			time.Sleep(wait)
			mux.ServeHTTP(w, r)
		}))
	}()
	return s, nil
}

// reset resets the connection of a call.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// setDown makes the store reset all connections, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		close(s.outage)
	}
	if !down && s.down {
		s.outage = make(chan struct{})
	}
	s.down = down
}

// put writes a key as the operators and the workers do. It reports whether the store took it.
func (s *store) put(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	s.set(key, value)
	s.notify()
	return true
}

// read returns the value of a key, nil if it does not exist.
func (s *store) read(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) set(key string, value []byte) {
	i := item{Key: key, Value: value, Rev: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	if value == nil {
		i.Removed = true
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	now := time.Now()
	s.history = append(s.history, change{i, now})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyRetention {
		s.dropped = s.history[0].Rev
		s.history = s.history[1:]
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		At      uint64 `json:"at"`
	}{Items: []item{}}
	s.mu.Lock()
	body.At = s.revision
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	size := 0
	for n, k := range keys {
		if n == pageItems || n > 0 && size+len(s.items[k].Value) > pageBytes {
			body.HasMore = true
			break
		}
		size += len(s.items[k].Value)
		body.Items = append(body.Items, s.items[k])
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		gone := after < s.dropped
		events := []item{}
		i, _ := slices.BinarySearchFunc(s.history, after+1, func(c change, rev uint64) int {
			if c.Rev < rev {
				return -1
			}
			return 1
		})
		for _, c := range s.history[i:] {
			if strings.HasPrefix(c.Key, q.Get("prefix")) {
				events = append(events, c.item)
			}
		}
		at, changed, outage := s.revision, s.changed, s.outage
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-outage:
			reset(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Puts)+len(t.Deletes) > maxTxnEntries {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") || len(p.Value) > maxStoreValueSize {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		reset(w)
		return
	}
	hold, current := true, []item{}
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if !ok {
			i = item{Key: e.Key}
		}
		current = append(current, i)
		hold = hold && i.Rev == e.Rev
	}
	if !hold {
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	revision := s.revision
	for _, p := range t.Puts {
		if p.Value == nil {
			p.Value = []byte{}
		}
		s.set(p.Key, p.Value)
	}
	for _, k := range t.Deletes {
		if _, ok := s.items[k]; ok {
			s.set(k, nil)
		}
	}
	s.notify()
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"rev": revision})
}
