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

const (
	// valueBytes is the largest value of a key, as in the settings of a small deployment.
	valueBytes = 1 << 20
	// pageItems and pageBytes bound a page of a key range.
	pageItems = 500
	pageBytes = 1 << 20
	// maxEntries is the number of conditions, puts and deletes that a transaction may have.
	maxEntries = 32
)

// item is an entry of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}  // closed and replaced at each change
	refused  map[string]int // keys of values over valueBytes, with the number of refusals
}

func newStore() (*store, error) {
	s := &store{revision: 1, items: make(map[string]item), changed: make(chan struct{}), refused: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peridotpitch/kv-key", s.get)
	mux.HandleFunc("GET /peridotpitch/kv-range", s.list)
	mux.HandleFunc("GET /peridotpitch/kv-watch", s.watch)
	mux.HandleFunc("POST /peridotpitch/kv-txn", s.commit)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go http.Serve(l, mux)
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes a key as the operator or a minion does. A nil value removes it.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value)
	s.wake()
}

// value returns the value of a key, nil if it does not exist.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) set(key string, value []byte) {
	i := item{Key: key, Value: value, Rev: s.revision, Created: s.revision, Removed: value == nil}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	if i.Removed {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
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
		if size += len(s.items[k].Value); n >= pageItems || n > 0 && size > pageBytes {
			body.HasMore = true
			break
		}
		body.Items = append(body.Items, s.items[k])
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil || ms > 30_000 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		begin, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, rev uint64) int { return int(int64(i.Rev) - int64(rev)) })
		events := []item{}
		for _, i := range s.history[begin:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Puts)+len(t.Deletes) > maxEntries {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, met := []item{}, true
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if !ok {
			i = item{Key: e.Key}
		}
		current = append(current, i)
		met = met && i.Rev == e.Rev
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		switch {
		case len(p.Value) > valueBytes:
			s.refused[p.Key]++
			reply(w, http.StatusRequestEntityTooLarge, struct{}{})
			return
		case strings.HasPrefix(p.Key, "op/"), strings.HasPrefix(p.Key, "servers/"):
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value)
	}
	for _, k := range t.Deletes {
		if _, ok := s.items[k]; ok {
			s.set(k, nil)
		}
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"rev": s.revision})
}
