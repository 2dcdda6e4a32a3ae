package ctrl

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/ledger"
	"dotterelgap/core/parse"
	"dotterelgap/core/state"
	"dotterelgap/io/admin"
	"dotterelgap/io/wire"
)

// Limits of the admin API.
const (
	maxAdminBody = 64 << 20
	adminTimeout = 10 * time.Second
)

// AdminArgs is an operator's request to the leader.
type AdminArgs struct {
	Method string
	Path   string
	Key    string
	Body   []byte
}

// AdminReply is the leader's reply to an operator's request.
type AdminReply struct {
	wire.Hint
	Status int
	Body   []byte
}

// Admin handles an operator's request on the leader.
func (s *Service) Admin(args *AdminArgs, reply *AdminReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	if reply.Hint = h.confirmLeadership(); reply.NotLeader {
		return nil
	}
	result, err := h.handleAdmin(args)
	var lost *leadershipLostError
	if errors.As(err, &lost) {
		reply.NotLeader = true
		return nil
	}
	reply.Status, reply.Body = encodeAdmin(result, err)
	return nil
}

// leadershipLostError is returned if this host is not the leader, or stopped being it
// during the request.
type leadershipLostError struct{}

func (e *leadershipLostError) Error() string { return "leadership was lost" }

func encodeAdmin(result any, err error) (int, []byte) {
	status := http.StatusOK
	if err != nil {
		f := toFailure(err)
		status, result = f.Status, f
	}
	data, err := json.Marshal(result)
	if err != nil {
		return http.StatusInternalServerError, []byte(`{"code":"internal"}`)
	}
	return status, append(data, '\n')
}

func toFailure(err error) *admin.Failure {
	var f *admin.Failure
	var bad *parse.Error
	var unknown *ledger.UnknownCustomerError
	var reused *state.ChangeReusedError
	var conflict *ledger.TopUpConflictError
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &bad):
		return &admin.Failure{Status: http.StatusUnprocessableEntity, Code: "bad_document", Message: err.Error()}
	case errors.As(err, &unknown):
		return &admin.Failure{Status: http.StatusNotFound, Code: "unknown_customer", Message: err.Error()}
	case errors.As(err, &reused), errors.As(err, &conflict):
		return &admin.Failure{Status: http.StatusConflict, Code: "id_reused", Message: err.Error()}
	}
	return &admin.Failure{Status: http.StatusBadRequest, Code: "bad_request", Message: err.Error()}
}

// AdminHandler returns the HTTP handler of the admin API. It can run on any control
// host and forwards requests to the leader.
func AdminHandler(c *Client) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
		defer cancel()
		args := AdminArgs{Method: r.Method, Path: r.URL.Path, Key: key, Body: body}
		reply, err := Call[AdminReply](ctx, c, "Control.Admin", &args)
		if err != nil {
			f := &admin.Failure{Status: http.StatusServiceUnavailable, Code: "no_quorum", Message: err.Error()}
			reply.Status, reply.Body = encodeAdmin(nil, f)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(reply.Status)
		_, _ = w.Write(reply.Body)
	})
}

// handleAdmin checks the operator's key and handles the request.
func (h *Host) handleAdmin(args *AdminArgs) (any, error) {
	by, err := h.operatorByKey(args.Key)
	if err != nil {
		return nil, err
	}
	name, isCustomer := strings.CutPrefix(args.Path, admin.PathCustomers+"/")
	switch args.Method + " " + args.Path {
	case "GET " + admin.PathConfig:
		return h.configReply()
	case "POST " + admin.PathConfig:
		return decodeThen(args.Body, func(r admin.ApplyRequest) (any, error) { return h.applyDocument(r, by) })
	case "POST " + admin.PathTopUps:
		return decodeThen(args.Body, h.topUp)
	case "GET " + admin.PathStatus:
		return h.statusReply()
	case "POST " + admin.PathWriteOffs:
		return decodeThen(args.Body, h.writeOff)
	case "POST " + admin.PathDrain:
		return decodeThen(args.Body, h.drainNode)
	case "POST " + admin.PathReplace:
		return decodeThen(args.Body, h.replace)
	case "POST " + admin.PathOrders:
		return decodeThen(args.Body, h.sendOrder)
	}
	if isCustomer && args.Method == http.MethodGet {
		return h.customerReply(name)
	}
	return nil, &admin.Failure{Status: http.StatusNotFound, Code: "no_such_path", Message: "no such path: " + args.Path}
}

func decodeThen[T any](body []byte, f func(T) (any, error)) (any, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, &admin.Failure{Status: http.StatusBadRequest, Code: "bad_json", Message: err.Error()}
	}
	return f(v)
}

// operatorByKey returns the name of the operator with this key. Until the first
// configuration is applied, the key of Deps.FirstOperator is valid too.
func (h *Host) operatorByKey(key string) (string, error) {
	digest := config.DigestOf(key)
	name := ""
	h.onLoop(func(time.Time) {
		doc := h.state.Document()
		if h.state.Config.Version == 0 && digest == h.deps.FirstOperator {
			name = "first operator"
		}
		for _, o := range doc.Environment.Operators {
			for _, k := range o.Keys {
				if k == digest {
					name = o.Name
				}
			}
		}
	})
	if name == "" {
		return "", &admin.Failure{Status: http.StatusUnauthorized, Code: "unauthorized", Message: "unknown operator key"}
	}
	return name, nil
}

func (h *Host) configReply() (any, error) {
	var r admin.ConfigReply
	if !h.onLoop(func(time.Time) {
		r = admin.ConfigReply{Version: h.state.Config.Version, Fingerprint: h.state.Config.Fingerprint, Document: h.state.Document()}
	}) {
		return nil, &leadershipLostError{}
	}
	return r, nil
}

// applyDocument checks the whole document and proposes the items that differ from the
// configuration in force.
func (h *Host) applyDocument(r admin.ApplyRequest, by string) (any, error) {
	if r.ChangeID == "" {
		return nil, &admin.Failure{Status: http.StatusBadRequest, Code: "bad_request", Message: "\"change_id\" is required"}
	}
	doc, err := config.Parse(r.File, []byte(r.Document))
	if err != nil {
		return nil, err
	}
	next := config.Split(doc)
	c := &state.ApplyConfig{ChangeID: r.ChangeID, Base: r.Base, Digest: config.Fingerprint(next), By: by}
	if !h.onLoop(func(time.Time) {
		if h.state.Config.Version == r.Base {
			c.Change = config.Diff(h.state.Config.Values(), next)
		}
	}) {
		return nil, &leadershipLostError{}
	}
	res, hint := h.commit(state.Command{Apply: c})
	if hint.NotLeader {
		return nil, &leadershipLostError{}
	}
	if res.Err != nil {
		return nil, res.Err
	}
	return admin.ApplyReply{Result: *res.Change}, nil
}

func (h *Host) topUp(t ledger.TopUp) (any, error) {
	if t.ID == "" {
		return nil, &admin.Failure{Status: http.StatusBadRequest, Code: "bad_request", Message: "\"id\" is required"}
	}
	res, hint := h.commit(state.Command{TopUp: &t})
	if hint.NotLeader {
		return nil, &leadershipLostError{}
	}
	if res.Err != nil {
		return nil, res.Err
	}
	return h.customerReply(t.Customer)
}

func (h *Host) writeOff(w ledger.WriteOff) (any, error) {
	res, hint := h.commit(state.Command{WriteOff: &w})
	if hint.NotLeader {
		return nil, &leadershipLostError{}
	}
	return struct{}{}, res.Err
}
