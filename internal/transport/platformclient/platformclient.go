// Package platformclient calls the platform's instance list and rating
// service over HTTP.
package platformclient

import (
	"context"
	"encoding/json"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/transport/httpconn"
)

// ErrUnavailable is the kind of the error of every failed call.
var ErrUnavailable = merry.Sentinel("platform service did not answer; call again later")

// Client calls the platform's services. It is safe for concurrent use.
type Client struct {
	instancesAddress string
	ratingsAddress   string
	pool             *httpconn.Pool
}

// New returns a client of the services at the given addresses.
func New(instances, ratings string, pool *httpconn.Pool) *Client {
	return &Client{instancesAddress: instances, ratingsAddress: ratings, pool: pool}
}

// Instances reads the instance list.
func (c *Client) Instances(ctx context.Context) (*platform.InstanceList, error) {
	var list platform.InstanceList
	err := c.call(ctx, fasthttp.MethodGet, c.instancesAddress, platform.InstancesPath, nil, &list)
	return &list, err
}

// Rate requests the rating of an answer.
func (c *Client) Rate(ctx context.Context, request *platform.RatingRequest) (*platform.Rating, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, merry.Prepend(ErrUnavailable, err.Error())
	}
	var rating platform.Rating
	if err := c.call(ctx, fasthttp.MethodPost, c.ratingsAddress, platform.RatingsPath, body, &rating); err != nil {
		return nil, err
	}
	if rating.RequestID != request.RequestID || !(rating.Score >= 0 && rating.Score <= 1) {
		return nil, merry.Prepend(ErrUnavailable, "rating is out of range or of another request")
	}
	return &rating, nil
}

func (c *Client) call(ctx context.Context, method, address, path string, body []byte, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := c.pool.Do(ctx, address, req, resp, httpconn.ReuseIdle); err != nil {
		return merry.Prepend(ErrUnavailable, err.Error())
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return merry.Prependf(ErrUnavailable, "status %d from %s%s", resp.StatusCode(), address, path)
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return merry.Prepend(ErrUnavailable, err.Error())
	}
	return nil
}
