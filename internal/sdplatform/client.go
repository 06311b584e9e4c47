// Package sdplatform is the HTTP client of the platform's object API, with a
// circuit breaker and a rate limit in front of it.
package sdplatform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdplatformapi"
)

const (
	// callTimeout bounds one call other than a watch.
	callTimeout = 3 * time.Second
	// watchGrace is added to the wait of a watch to get its timeout.
	watchGrace = 3 * time.Second
	// maxHeadBytes and maxBodyBytes bound the head and the body of an answer.
	maxHeadBytes = 64 << 10
	maxBodyBytes = 64 << 20
)

// Client implements savorydeal.Platform over HTTP.
type Client struct {
	api *sdplatformapi.Client
}

var _ savorydeal.Platform = (*Client)(nil)

// New returns a client for the platform at the base URL.
func New(url string) (*Client, error) {
	api, err := sdplatformapi.NewClient(url, sdplatformapi.WithClient(&http.Client{Transport: newTransport()}))
	if err != nil {
		return nil, fmt.Errorf("platform at %s: %w", url, err)
	}
	return &Client{api: api}, nil
}

// transport bounds the bodies of answers.
type transport struct {
	http.RoundTripper
}

// newTransport returns a transport that keeps no connections: an answer that the platform
// writes twice could be taken for that to the next call, and calls are few.
func newTransport() *transport {
	return &transport{&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}}
}

// RoundTrip sends one request.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxBodyBytes)
	return response, nil
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind, name string) (savorydeal.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := c.api.GetObject(ctx, sdplatformapi.GetObjectParams{Kind: kind, Name: name})
	if err != nil {
		return savorydeal.Object{}, wrap("get", kind, name, err)
	}
	return fromAPI(*object), nil
}

// Put writes one object if its current version is the expected one.
func (c *Client) Put(ctx context.Context, kind, name string, expected int64, value []byte) (savorydeal.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := sdplatformapi.PutObjectParams{Kind: kind, Name: name, ExpectedVersion: expected}
	object, err := c.api.PutObject(ctx, &sdplatformapi.ObjectValue{Value: value}, params)
	if err != nil {
		return savorydeal.Object{}, wrap("put", kind, name, err)
	}
	return fromAPI(*object), nil
}

// Delete deletes one object if its current version is the expected one.
func (c *Client) Delete(ctx context.Context, kind, name string, expected int64) (savorydeal.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := sdplatformapi.DeleteObjectParams{Kind: kind, Name: name, ExpectedVersion: expected}
	object, err := c.api.DeleteObject(ctx, params)
	if err != nil {
		return savorydeal.Object{}, wrap("delete", kind, name, err)
	}
	return fromAPI(*object), nil
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) (savorydeal.ObjectList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := c.api.ListObjects(ctx, sdplatformapi.ListObjectsParams{Kind: kind})
	if err != nil {
		return savorydeal.ObjectList{}, wrap("list", kind, "", err)
	}
	return listFromAPI(*list), nil
}

// Watch waits up to the given time for changes after a revision.
func (c *Client) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (savorydeal.ObjectList, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	params := sdplatformapi.WatchObjectsParams{Kind: kind, After: after, WaitMs: wait.Milliseconds()}
	list, err := c.api.WatchObjects(ctx, params)
	if err != nil {
		return savorydeal.ObjectList{}, wrap("watch", kind, "", err)
	}
	return listFromAPI(*list), nil
}

func fromAPI(object sdplatformapi.Object) savorydeal.Object {
	return savorydeal.Object{
		Kind:    object.Kind,
		Name:    object.Name,
		Version: object.Version,
		Deleted: object.Deleted,
		Value:   object.Value,
	}
}

func listFromAPI(list sdplatformapi.ObjectList) savorydeal.ObjectList {
	mapped := savorydeal.ObjectList{Revision: list.Revision}
	for _, object := range list.Objects {
		mapped.Objects = append(mapped.Objects, fromAPI(object))
	}
	return mapped
}

// wrap adds the object to an error. It maps the statuses after which a write has
// certainly not taken effect to the errors of savorydeal.Platform. After any other
// error the outcome of a write is unknown.
func wrap(verb, kind, name string, err error) error {
	var problem *sdplatformapi.ProblemStatusCode
	if errors.As(err, &problem) {
		switch problem.StatusCode {
		case http.StatusNotFound:
			return fmt.Errorf("%s %s %s: %w", verb, kind, name, savorydeal.ErrObjectNotFound)
		case http.StatusConflict:
			return fmt.Errorf("%s %s %s: %w", verb, kind, name, savorydeal.ErrVersionConflict)
		// Only status 429 counts as refused: another, such as 503, may come from an
		// intermediary after the write took effect.
		case http.StatusTooManyRequests:
			return fmt.Errorf("%s %s %s: %w", verb, kind, name, savorydeal.ErrPlatformRefused)
		}
	}
	return fmt.Errorf("%s %s %s: %w", verb, kind, name, err)
}
