package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	kv "foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/etcd"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

// Handler returns the service's HTTP API: the etcd v3 JSON gateway, GET /stats and
// POST /faults.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(etcd.PathRange, s.serveRange)
	r.Post(etcd.PathTxn, s.serveTxn)
	r.Post(etcd.PathWatch, s.serveWatch)
	r.Post(etcd.PathGrant, s.serveGrant)
	r.Post(etcd.PathKeepAlive, s.serveKeepAlive)
	r.Post(etcd.PathRevoke, s.serveRevoke)
	r.Get("/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Calls()) })
	r.Post("/faults", s.serveFault)
	return r
}

func (s *Service) serveRange(w http.ResponseWriter, r *http.Request) {
	var req etcd.RangeRequest
	if !decode(w, r, &req) {
		return
	}
	s.acceptCall(r, &s.counts.ranges)
	if req.Revision != 0 || req.Limit != 0 {
		writeError(w, etcd.Unimplemented, "the stand-in reads the newest revision, without a limit")
		return
	}
	writeJSON(w, http.StatusOK, s.readRange(&req))
}

func (s *Service) readRange(req *etcd.RangeRequest) etcd.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpiredLeases()
	return s.readRangeLocked(req)
}

func (s *Service) readRangeLocked(req *etcd.RangeRequest) etcd.RangeResponse {
	resp := etcd.RangeResponse{Header: etcd.Header{Revision: s.revision}}
	if len(req.RangeEnd) == 0 {
		if e, ok := s.items[string(req.Key)]; ok {
			resp.Kvs = []etcd.KeyValue{e.toKeyValue()}
		}
	} else {
		resp.Kvs = s.itemsInRange(string(req.Key), string(req.RangeEnd))
	}
	resp.Count = int64(len(resp.Kvs))
	return resp
}

func (e *storedItem) toKeyValue() etcd.KeyValue {
	return etcd.KeyValue{
		Key:            []byte(e.item.Key),
		CreateRevision: e.created,
		ModRevision:    e.item.ModRevision,
		Version:        e.version,
		Value:          e.item.Value,
		Lease:          int64(e.item.Lease),
	}
}

func (s *Service) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req etcd.TxnRequest
	if !decode(w, r, &req) {
		return
	}
	txn, err := toTxn(&req)
	if err != nil {
		writeError(w, etcd.InvalidArgument, err.Error())
		return
	}
	s.serveWrite(w, r, &s.counts.txns, func() (any, error) {
		result, err := s.commit(txn)
		if err != nil {
			return nil, err
		}
		return s.txnResponse(&req, result), nil
	})
}

// txnResponse returns the response to a transaction: a put response for each operation
// of the Success branch, deletions included, or the reads of the Failure branch.
func (s *Service) txnResponse(req *etcd.TxnRequest, result kv.Result) etcd.TxnResponse {
	resp := etcd.TxnResponse{Header: etcd.Header{Revision: result.Revision}, Succeeded: result.Succeeded}
	if result.Succeeded {
		for range req.Success {
			resp.Responses = append(resp.Responses, etcd.ResponseOp{Put: &etcd.PutResponse{Header: resp.Header}})
		}
		return resp
	}
	for _, op := range req.Failure {
		page := etcd.RangeResponse{Header: resp.Header}
		for _, item := range result.Current {
			if item.Key == string(op.Range.Key) && item.Exists() {
				page.Kvs = append(page.Kvs, etcd.KeyValue{
					Key: []byte(item.Key), Value: item.Value, ModRevision: item.ModRevision, Lease: int64(item.Lease),
				})
			}
		}
		page.Count = int64(len(page.Kvs))
		resp.Responses = append(resp.Responses, etcd.ResponseOp{Range: &page})
	}
	return resp
}

// toTxn converts req to a transaction. The stand-in supports only comparisons of
// modification revisions, puts and deletions of single keys on success, and reads
// of the compared keys on failure.
func toTxn(req *etcd.TxnRequest) (kv.Txn, error) {
	var txn kv.Txn
	compared := map[string]bool{}
	for _, c := range req.Compare {
		if c.Target != etcd.CompareMod || c.Result != etcd.CompareEqual {
			return txn, errors.New("the stand-in compares modification revisions for equality alone")
		}
		txn.Compares = append(txn.Compares, kv.Compare{Key: string(c.Key), ModRevision: c.ModRevision})
		compared[string(c.Key)] = true
	}
	for _, op := range req.Success {
		switch {
		case op.Put != nil:
			txn.Puts = append(txn.Puts, kv.Put{Key: string(op.Put.Key), Value: op.Put.Value, Lease: kv.LeaseID(op.Put.Lease)})
		case op.DeleteRange != nil && len(op.DeleteRange.RangeEnd) == 0:
			txn.Deletes = append(txn.Deletes, string(op.DeleteRange.Key))
		default:
			return txn, errors.New("the stand-in puts and deletes single keys on success")
		}
	}
	for _, op := range req.Failure {
		if op.Range == nil || !compared[string(op.Range.Key)] {
			return txn, errors.New("the stand-in reads compared keys on failure")
		}
	}
	return txn, nil
}

func (s *Service) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req etcd.LeaseGrantRequest
	if !decode(w, r, &req) {
		return
	}
	s.serveWrite(w, r, &s.counts.grants, func() (any, error) {
		id, ttl, err := s.grant(time.Duration(req.TTL) * time.Second)
		return etcd.LeaseGrantResponse{Header: s.header(), ID: int64(id), TTL: int64(ttl / time.Second)}, err
	})
}

func (s *Service) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req etcd.LeaseKeepAliveRequest
	if !decode(w, r, &req) {
		return
	}
	s.serveWrite(w, r, &s.counts.keepAlives, func() (any, error) {
		// For an expired lease the gateway returns a TTL of 0, not an error.
		ttl, _ := s.keepAlive(kv.LeaseID(req.ID))
		return etcd.LeaseKeepAliveMessage{Result: &etcd.LeaseKeepAliveResponse{
			Header: s.header(), ID: req.ID, TTL: int64(ttl / time.Second),
		}}, nil
	})
}

func (s *Service) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var req etcd.LeaseRevokeRequest
	if !decode(w, r, &req) {
		return
	}
	s.serveWrite(w, r, &s.counts.revokes, func() (any, error) {
		err := s.revoke(kv.LeaseID(req.ID))
		return etcd.LeaseRevokeResponse{Header: s.header()}, err
	})
}

func (s *Service) header() etcd.Header { return etcd.Header{Revision: s.Revision()} }

// serveWrite executes a write subject to the faults and writes the response.
func (s *Service) serveWrite(w http.ResponseWriter, r *http.Request, count *atomic.Int64, apply func() (any, error)) {
	s.acceptCall(r, count)
	// The caller of a held write is gone when the write is applied, so its error is
	// ignored.
	if s.dropsRequest(func() { _, _ = apply() }) {
		panic(http.ErrAbortHandler)
	}
	body, err := apply()
	if err != nil {
		writeError(w, errorCode(err), err.Error())
		return
	}
	if s.dropsResponse() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, body)
}

func errorCode(err error) etcd.Code {
	if strings.Contains(err.Error(), "lease") {
		return etcd.NotFound
	}
	return etcd.InvalidArgument
}

// acceptCall counts a call and delays it. It aborts the connection if the call was
// cancelled or the service is down.
func (s *Service) acceptCall(r *http.Request, count *atomic.Int64) {
	count.Add(1)
	if s.delay(r.Context()) != nil || s.down() {
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req etcd.WatchRequest
	if !decode(w, r, &req) {
		return
	}
	s.acceptCall(r, &s.counts.watches)
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	created := true
	matches := keyRange(string(req.Create.Key), string(req.Create.RangeEnd))
	after := req.Create.StartRevision - 1
	if req.Create.StartRevision == 0 {
		after = s.Revision()
	}
	err := s.watch(r.Context(), matches, after, func(b batch) error {
		resp := &etcd.WatchResponse{Header: etcd.Header{Revision: b.revision}, Created: created, Events: toEvents(b.changes)}
		if !created && len(resp.Events) == 0 {
			return nil
		}
		created = false
		if err := out.Encode(etcd.WatchMessage{Result: resp}); err != nil {
			return err
		}
		return flush()
	})
	if fault.Is(err, kv.Compacted) {
		_ = out.Encode(etcd.WatchMessage{Result: &etcd.WatchResponse{
			Header: s.header(), Canceled: true, CompactRevision: s.compactRevision(),
		}})
		return
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) compactRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted
}

func toEvents(changes []kv.Change) []etcd.Event {
	out := make([]etcd.Event, len(changes))
	for i, c := range changes {
		out[i].Kv = etcd.KeyValue{
			Key: []byte(c.Item.Key), Value: c.Item.Value, ModRevision: c.Item.ModRevision, Lease: int64(c.Item.Lease),
		}
		if c.Deleted {
			out[i].Type = etcd.EventDelete
		}
	}
	return out
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		writeError(w, etcd.InvalidArgument, err.Error())
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, code etcd.Code, message string) {
	writeJSON(w, http.StatusBadRequest, etcd.Status{Error: message, Code: code, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected, so it can't be reported.
	_ = json.NewEncoder(w).Encode(body)
}
