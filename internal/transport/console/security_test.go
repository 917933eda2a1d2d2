package console

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

func TestForbiddenRequestsAreRefused(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	form := csrfField + "=" + b.csrf
	cases := []struct {
		name, method, page, body string
		prepare                  func(*fasthttp.Request)
		status                   int
	}{
		{"no cookie", "GET", "/", "", func(r *fasthttp.Request) { r.Header.DelAllCookies() }, fasthttp.StatusUnauthorized},
		{"wrong cookie", "GET", "/", "", func(r *fasthttp.Request) { r.Header.SetCookie(cookieName, "x") }, fasthttp.StatusUnauthorized},
		{"outside the random path", "GET", "/", "", func(r *fasthttp.Request) { r.SetRequestURI("/") }, fasthttp.StatusUnauthorized},
		{"foreign host", "GET", "/", "", func(r *fasthttp.Request) { r.Header.SetHost("evil.example:8401") }, fasthttp.StatusMisdirectedRequest},
		{"loopback with another port", "GET", "/", "", func(r *fasthttp.Request) { r.Header.SetHost("127.0.0.1:9999") }, fasthttp.StatusMisdirectedRequest},
		{"unknown page", "GET", "/nothing", "", nil, fasthttp.StatusNotFound},
		{"other method", "PUT", "/domains", "", nil, fasthttp.StatusNotFound},
		{"form without token", "POST", "/draft/discard", "", nil, fasthttp.StatusForbidden},
		{"form with wrong token", "POST", "/draft/discard", csrfField + "=x", nil, fasthttp.StatusForbidden},
		{"form without origin", "POST", "/draft/discard", form, func(r *fasthttp.Request) { r.Header.Del("Origin") }, fasthttp.StatusForbidden},
		{"form from a foreign origin", "POST", "/draft/discard", form, func(r *fasthttp.Request) { r.Header.Set("Origin", "http://evil.example") }, fasthttp.StatusForbidden},
		{"form from another port", "POST", "/draft/discard", form, func(r *fasthttp.Request) { r.Header.Set("Origin", "http://127.0.0.1:9999") }, fasthttp.StatusForbidden},
		{"form with a null origin", "POST", "/draft/discard", form, func(r *fasthttp.Request) { r.Header.Set("Origin", "null") }, fasthttp.StatusForbidden},
		{"huge form", "POST", "/draft/discard", form + "&x=" + strings.Repeat("x", maxFormBytes), nil, fasthttp.StatusBadRequest},
		{"broken form", "POST", "/draft/discard", form + "&%zz", nil, fasthttp.StatusBadRequest},
		{"broken query", "GET", "/section?%zz", "", nil, fasthttp.StatusBadRequest},
		{"unknown section", "GET", "/section?of=x", "", nil, fasthttp.StatusNotFound},
		{"unknown item", "GET", "/item?of=cascades&item=x", "", nil, fasthttp.StatusNotFound},
		{"used sign-in link", "GET", "", "", func(r *fasthttp.Request) { r.SetRequestURI(loginPath + "?token=" + newSecret()) }, fasthttp.StatusForbidden},
		{"sign-in without token", "GET", "", "", func(r *fasthttp.Request) { r.SetRequestURI(loginPath) }, fasthttp.StatusForbidden},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := f.send(tc.method, f.server.root+tc.page, tc.body, func(r *fasthttp.Request) {
				b.withCookie(r)
				if tc.prepare != nil {
					tc.prepare(r)
				}
			})
			must.Eq(t, tc.status, got.status)
			must.Eq(t, "", string(got.header.PeekCookie(cookieName)))
		})
	}
}

func TestAcceptedHostsAndOrigins(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	for _, host := range []string{testListen, "localhost:8401", "console.example"} {
		for _, scheme := range []string{"http", "https"} {
			got := f.send("POST", f.server.root+"/draft/discard", csrfField+"="+b.csrf, func(r *fasthttp.Request) {
				b.withCookie(r)
				r.Header.SetHost(host)
				r.Header.Set("Origin", scheme+"://"+host)
			})
			must.Eq(t, fasthttp.StatusSeeOther, got.status, must.Sprint(host))
		}
	}
}

func TestSignInLinkWorksOnce(t *testing.T) {
	f := newTestFleet(t)
	link, err := url.Parse(f.server.LoginURL())
	must.NoError(t, err)
	must.Eq(t, fasthttp.StatusSeeOther, f.send("GET", link.RequestURI(), "", nil).status)
	must.Eq(t, fasthttp.StatusForbidden, f.send("GET", link.RequestURI(), "", nil).status)
	must.SliceLen(t, 1, f.links)
	must.Eq(t, f.server.LoginURL(), f.links[0])
	must.NotEq(t, link.String(), f.links[0])
}

func TestRandomPathIsNotDisclosed(t *testing.T) {
	f := newTestFleet(t)
	for _, path := range []string{"/", "/login", "/style.css", "/favicon.ico", "/draft"} {
		got := f.send("GET", path, "", nil)
		must.StrNotContains(t, got.body+got.location, f.server.root)
	}
}

func TestSecurityHeaders(t *testing.T) {
	f := newTestFleet(t)
	got := f.signIn().get("/")
	policy := string(got.header.Peek("Content-Security-Policy"))
	must.StrContains(t, policy, "default-src 'none'")
	must.StrNotContains(t, policy, "unsafe")
	must.StrNotContains(t, policy, "script-src")
	must.Eq(t, "no-store", string(got.header.Peek("Cache-Control")))
	must.StrNotContains(t, got.body, "<script")
	must.StrNotContains(t, got.body, "style=")
}

func TestSessionsAreBoundedAndExpire(t *testing.T) {
	f := newTestFleet(t)
	first := f.signIn()
	for i := range maxSessions {
		f.now = f.now.Add(time.Second)
		must.Eq(t, min(i+2, maxSessions), len(f.signIn().server.sessions.byID))
	}
	must.Eq(t, fasthttp.StatusUnauthorized, first.get("/").status)
	last := f.signIn()
	f.now = f.now.Add(sessionIdleTimeout)
	must.Eq(t, fasthttp.StatusOK, last.get("/").status)
	f.now = f.now.Add(sessionIdleTimeout + time.Second)
	must.Eq(t, fasthttp.StatusUnauthorized, last.get("/").status)
}

func TestSignOutEndsSession(t *testing.T) {
	b := newTestFleet(t).signIn()
	must.Eq(t, fasthttp.StatusOK, b.post("/sign-out").status)
	must.Eq(t, fasthttp.StatusUnauthorized, b.get("/").status)
}

func TestTextsAreEscaped(t *testing.T) {
	f := newTestFleet(t)
	b := f.signIn()
	got := f.send("POST", f.server.root+"/item", url.Values{
		csrfField: {b.csrf}, "of": {"cascades"}, "item": {""}, "name": {`"><script>alert(1)</script>`},
	}.Encode(), b.withCookie)
	must.Eq(t, fasthttp.StatusUnprocessableEntity, got.status)
	must.StrContains(t, got.body, "<script>alert(1)")
	must.StrNotContains(t, got.raw, "<script")
}
