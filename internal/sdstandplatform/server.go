package sdstandplatform

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdplatformapi"
)

// callKind selects the rate limit that a call counts against.
type callKind string

const (
	callRead  callKind = "read"
	callWrite callKind = "write"
	callWatch callKind = "watch"
)

// Server serves a Store through the platform's API. It is safe for concurrent use.
type Server struct {
	store *Store
	http  http.Handler

	mu sync.Mutex
	// second is the Unix time for which used counts calls.
	second int64
	used   map[callKind]int
}

var (
	_ http.Handler          = (*Server)(nil)
	_ sdplatformapi.Handler = (*Server)(nil)
)

// NewServer returns a server for the store.
func NewServer(store *Store) (*Server, error) {
	server := &Server{store: store, used: make(map[callKind]int)}
	api, err := sdplatformapi.NewServer(server)
	if err != nil {
		return nil, err
	}
	server.http = api
	return server, nil
}

// answerDrop records whether the answer of a request is to be dropped.
type answerDrop struct{ drop bool }

type answerDropKey struct{}

// ServeHTTP answers one call, or closes its connection after a write whose answer
// is to be dropped.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := &answerDrop{}
	ctx := context.WithValue(r.Context(), answerDropKey{}, answer)
	response := &droppableResponse{ResponseWriter: w, answer: answer}
	s.http.ServeHTTP(response, r.WithContext(ctx))
	if answer.drop {
		panic(http.ErrAbortHandler)
	}
}

// droppableResponse discards an answer that is to be dropped.
type droppableResponse struct {
	http.ResponseWriter
	answer *answerDrop
}

func (d *droppableResponse) WriteHeader(status int) {
	if !d.answer.drop {
		d.ResponseWriter.WriteHeader(status)
	}
}

func (d *droppableResponse) Write(p []byte) (int, error) {
	if d.answer.drop {
		return len(p), nil
	}
	return d.ResponseWriter.Write(p)
}

// begin counts a call and injects the faults that precede its effect. An error
// ends the call.
func (s *Server) begin(ctx context.Context, kind callKind) error {
	s.count(kind)
	faults := s.store.Faults()
	if faults.Hang {
		s.store.mu.Lock()
		hangEnded := s.store.hangEnded
		s.store.mu.Unlock()
		select {
		case <-hangEnded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if faults.Down {
		s.countRefused()
		return problem(http.StatusServiceUnavailable, "the platform is down", 0)
	}
	if s.exceedsRate(kind, faults) {
		s.countRefused()
		return problem(http.StatusTooManyRequests, "the platform's rate limit is exceeded", 0)
	}
	return nil
}

func (s *Server) count(kind callKind) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	switch kind {
	case callRead:
		s.store.calls.Reads++
	case callWrite:
		s.store.calls.Writes++
	case callWatch:
		s.store.calls.Watches++
	}
}

func (s *Server) countRefused() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.calls.Refused++
}

// exceedsRate counts a call against the rate limit of its kind and reports whether
// it exceeds the limit. Limits hold for each second of the clock.
func (s *Server) exceedsRate(kind callKind, faults Faults) bool {
	limit := faults.ReadsPerSecond
	if kind == callWrite {
		limit = faults.WritesPerSecond
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := time.Now().Unix(); second != s.second {
		s.second = second
		clear(s.used)
	}
	s.used[kind]++
	return limit > 0 && s.used[kind] > limit
}

// endWrite marks the answer of a write to be dropped if Faults.DropWriteAnswers is
// set.
func (s *Server) endWrite(ctx context.Context) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if !s.store.faults.DropWriteAnswers {
		return
	}
	s.store.calls.DroppedWriteAnswers++
	if answer, ok := ctx.Value(answerDropKey{}).(*answerDrop); ok {
		answer.drop = true
	}
}

// GetObject returns one object, or status 404 if it is absent or deleted.
func (s *Server) GetObject(ctx context.Context, params sdplatformapi.GetObjectParams) (*sdplatformapi.Object, error) {
	if err := s.begin(ctx, callRead); err != nil {
		return nil, err
	}
	object, ok := s.store.get(params.Kind, params.Name)
	if !ok {
		return nil, problem(http.StatusNotFound, "no such object", 0)
	}
	return toAPI(object), nil
}

// PutObject writes one object if its version is the expected one.
func (s *Server) PutObject(ctx context.Context, req *sdplatformapi.ObjectValue, params sdplatformapi.PutObjectParams) (*sdplatformapi.Object, error) {
	object := savorydeal.Object{Kind: params.Kind, Name: params.Name, Value: req.Value}
	return s.writeObject(ctx, object, params.ExpectedVersion)
}

// DeleteObject writes a tombstone if the object's version is the expected one.
func (s *Server) DeleteObject(ctx context.Context, params sdplatformapi.DeleteObjectParams) (*sdplatformapi.Object, error) {
	object := savorydeal.Object{Kind: params.Kind, Name: params.Name, Deleted: true, Value: []byte{}}
	return s.writeObject(ctx, object, params.ExpectedVersion)
}

func (s *Server) writeObject(ctx context.Context, object savorydeal.Object, expected int64) (*sdplatformapi.Object, error) {
	if err := s.begin(ctx, callWrite); err != nil {
		return nil, err
	}
	written, current, ok := s.store.write(object, expected)
	if !ok {
		return nil, problem(http.StatusConflict, "the object has another version", current)
	}
	s.endWrite(ctx)
	return toAPI(written), nil
}

// ListObjects returns all objects of a kind, tombstones included.
func (s *Server) ListObjects(ctx context.Context, params sdplatformapi.ListObjectsParams) (*sdplatformapi.ObjectList, error) {
	if err := s.begin(ctx, callRead); err != nil {
		return nil, err
	}
	list, _ := s.store.changesAfter(params.Kind, 0)
	return listToAPI(list), nil
}

// WatchObjects waits for changes after a revision. It returns an empty list if none
// occur within the wait.
func (s *Server) WatchObjects(ctx context.Context, params sdplatformapi.WatchObjectsParams) (*sdplatformapi.ObjectList, error) {
	if err := s.begin(ctx, callWatch); err != nil {
		return nil, err
	}
	timeout := time.After(time.Duration(params.WaitMs) * time.Millisecond)
	for {
		list, changed := s.store.changesAfter(params.Kind, params.After)
		if len(list.Objects) > 0 {
			return listToAPI(list), nil
		}
		select {
		case <-changed:
		case <-timeout:
			return listToAPI(list), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// NewError returns the problem that answers a failed call: the error itself if it
// is a problem, and status 500 otherwise.
func (s *Server) NewError(_ context.Context, err error) *sdplatformapi.ProblemStatusCode {
	var answer *sdplatformapi.ProblemStatusCode
	if errors.As(err, &answer) {
		return answer
	}
	return problem(http.StatusInternalServerError, err.Error(), 0)
}

// problem returns an error answer. current is the object's present version, or 0 if
// the answer carries none.
func problem(status int, detail string, current int64) *sdplatformapi.ProblemStatusCode {
	response := sdplatformapi.Problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Detail: sdplatformapi.NewOptString(detail),
	}
	if current > 0 {
		response.CurrentVersion = sdplatformapi.NewOptInt64(current)
	}
	return &sdplatformapi.ProblemStatusCode{StatusCode: status, Response: response}
}

func toAPI(object savorydeal.Object) *sdplatformapi.Object {
	return &sdplatformapi.Object{
		Kind:    object.Kind,
		Name:    object.Name,
		Version: object.Version,
		Deleted: object.Deleted,
		Value:   object.Value,
	}
}

func listToAPI(list savorydeal.ObjectList) *sdplatformapi.ObjectList {
	apiList := &sdplatformapi.ObjectList{Revision: list.Revision, Objects: []sdplatformapi.Object{}}
	for _, object := range list.Objects {
		apiList.Objects = append(apiList.Objects, *toAPI(object))
	}
	return apiList
}
